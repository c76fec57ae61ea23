package config

import (
	"net/netip"
)

// CheckAddress adds a problem unless value is an IP address with a port.
func (f *File[T]) CheckAddress(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		f.Add(path, "expected an IP address with a port, such as 127.0.0.1:7000, found %q; host names are not accepted", value)
	}
}

// CheckName adds a problem when a required name is empty.
func (f *File[T]) CheckName(path, value string) {
	if value == "" {
		f.Add(path, "expected a name, found none")
	}
}
