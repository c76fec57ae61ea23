package config

import (
	"fmt"

	glade "indigoglade"
)

// PeerSpec configures the address of another entry host.
type PeerSpec struct {
	Node    glade.Node `json:"node"`
	Zone    glade.Zone `json:"zone"`
	Address string     `json:"address"`
}

// KeysSpec names the files for mutual TLS between the system's processes.
type KeysSpec struct {
	Cert  string `json:"cert"`
	Key   string `json:"key"`
	Trust string `json:"trust"`
}

// NodeSpec configures an entry or keeper process.
type NodeSpec struct {
	Node glade.Node `json:"node"`
	Zone glade.Zone `json:"zone"`
	// Listen is the address for callers. Keepers have none.
	Listen string `json:"listen"`
	// Status is the address for counters and operators' queries.
	Status string `json:"status"`
	// Link is the address for peers.
	Link     string     `json:"link"`
	Platform string     `json:"platform"`
	Peers    []PeerSpec `json:"peers"`
	Keys     KeysSpec   `json:"keys"`
}

// ReadNode parses and validates the settings of an entry or keeper process.
func ReadNode(name string, source []byte) *File[NodeSpec] {
	f := Read[NodeSpec](name, source)
	if !f.IsParsed() {
		return f
	}
	spec := f.Value()
	f.CheckName("/node", string(spec.Node))
	f.CheckName("/zone", string(spec.Zone))
	if spec.Listen != "" {
		f.CheckAddress("/listen", spec.Listen)
	}
	f.CheckAddress("/status", spec.Status)
	f.CheckAddress("/link", spec.Link)
	f.CheckAddress("/platform", spec.Platform)
	checkPeers(f, spec)
	checkKeys(f, spec.Keys)
	return f
}

func checkPeers(f *File[NodeSpec], spec NodeSpec) {
	seen := map[glade.Node]bool{spec.Node: true}
	for i, peer := range spec.Peers {
		path := fmt.Sprintf("/peers/%d", i)
		f.CheckName(path+"/node", string(peer.Node))
		f.CheckName(path+"/zone", string(peer.Zone))
		f.CheckAddress(path+"/address", peer.Address)
		if seen[peer.Node] {
			f.Add(path+"/node", "node %q is named twice", peer.Node)
		}
		seen[peer.Node] = true
	}
}

func checkKeys(f *File[NodeSpec], keys KeysSpec) {
	if keys == (KeysSpec{}) {
		return
	}
	f.CheckName("/keys/cert", keys.Cert)
	f.CheckName("/keys/key", keys.Key)
	f.CheckName("/keys/trust", keys.Trust)
}
