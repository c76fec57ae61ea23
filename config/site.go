package config

import (
	"fmt"

	glade "indigoglade"
)

// StatusSpec configures the addresses of one process for operators and callers.
type StatusSpec struct {
	Node   glade.Node `json:"node"`
	Zone   glade.Zone `json:"zone"`
	Status string     `json:"status"`
	Listen string     `json:"listen"`
}

// SiteSpec configures the operators' command line and the load generator.
type SiteSpec struct {
	Platform string       `json:"platform"`
	Entries  []StatusSpec `json:"entries"`
	Keepers  []StatusSpec `json:"keepers"`
}

// ReadSite parses and validates a site file.
func ReadSite(name string, source []byte) *File[SiteSpec] {
	f := Read[SiteSpec](name, source)
	if !f.IsParsed() {
		return f
	}
	spec := f.Value()
	f.CheckAddress("/platform", spec.Platform)
	checkStatuses(f, "/entries", spec.Entries)
	checkStatuses(f, "/keepers", spec.Keepers)
	return f
}

func checkStatuses(f *File[SiteSpec], path string, list []StatusSpec) {
	seen := make(map[glade.Node]bool)
	for i, s := range list {
		itemPath := fmt.Sprintf("%s/%d", path, i)
		f.CheckName(itemPath+"/node", string(s.Node))
		f.CheckAddress(itemPath+"/status", s.Status)
		if s.Listen != "" {
			f.CheckAddress(itemPath+"/listen", s.Listen)
		}
		if seen[s.Node] {
			f.Add(itemPath+"/node", "node %q is named twice", s.Node)
		}
		seen[s.Node] = true
	}
}
