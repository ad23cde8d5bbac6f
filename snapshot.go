package catkinspindle

import "maps"

// Snapshot is an immutable copy of a node's control state.
type Snapshot struct {
	Self    Member
	Members []Member
	Config  FleetConfig
	// Serving lists the backend servers in use, without those that are leaving.
	Serving []Assignment
	// Homes maps an engine to its home, the VM that keeps its reservation ledger.
	Homes map[string]Member
	// RemoteLoads maps an engine whose home is another VM to the last load that the home
	// reported; LocalLoads maps an engine whose home is this VM to its load.
	RemoteLoads map[string]HomeLoad
	LocalLoads  map[string]HomeLoad
	// Superseded means that a newer incarnation of this VM exists.
	Superseded bool
}

// Ready reports whether the node may serve callers.
func (s *Snapshot) Ready() bool { return s != nil && s.Config.Version > 0 && !s.Superseded }

// Load returns the last known state of an engine's ledger.
func (s *Snapshot) Load(engine string) (HomeLoad, bool) {
	if l, ok := s.LocalLoads[engine]; ok {
		return l, true
	}
	l, ok := s.RemoteLoads[engine]
	return l, ok
}

// Loads returns the last known states of all ledgers.
func (s *Snapshot) Loads() map[string]HomeLoad {
	all := maps.Clone(s.RemoteLoads)
	maps.Copy(all, s.LocalLoads)
	return all
}

// Replicas returns the backend servers of a service.
func (s *Snapshot) Replicas(service string) []Assignment {
	var list []Assignment
	for _, a := range s.Serving {
		if a.Service == service {
			list = append(list, a)
		}
	}
	return list
}
