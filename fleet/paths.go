package fleet

// SetPathsLost tells the other nodes whether this one reaches no replica.
func (f *Fleet) SetPathsLost(lost bool) {
	f.mu.Lock()
	f.self.PathsLost = lost
	f.members[f.self.Name].PathsLost = lost
	f.mu.Unlock()
	f.Wake()
}
