package config

import (
	"fmt"

	glade "indigoglade"
)

// StatusSpec configures where one process answers operators' queries.
type StatusSpec struct {
	Node   glade.Node `json:"node"`
	Zone   glade.Zone `json:"zone"`
	Status string     `json:"status"`
	Listen string     `json:"listen"`
}

// SiteSpec configures the operators' command line and the load tool.
type SiteSpec struct {
	Platform string       `json:"platform"`
	Entries  []StatusSpec `json:"entries"`
	Keepers  []StatusSpec `json:"keepers"`
}

// ReadSite reads and checks a site file.
func ReadSite(name string, source []byte) *File[SiteSpec] {
	f := Read[SiteSpec](name, source)
	if !f.Parsed() {
		return f
	}
	spec := f.Value()
	f.CheckAddress("/platform", spec.Platform)
	checkStatuses(f, "/entries", spec.Entries)
	checkStatuses(f, "/keepers", spec.Keepers)
	return f
}

func checkStatuses(f *File[SiteSpec], at string, list []StatusSpec) {
	seen := make(map[glade.Node]bool)
	for i, s := range list {
		here := fmt.Sprintf("%s/%d", at, i)
		f.CheckName(here+"/node", string(s.Node))
		f.CheckAddress(here+"/status", s.Status)
		if s.Listen != "" {
			f.CheckAddress(here+"/listen", s.Listen)
		}
		if seen[s.Node] {
			f.Add(here+"/node", "node %q is named twice", s.Node)
		}
		seen[s.Node] = true
	}
}
