package fencer

// Highest returns the highest number recorded for a target, 0 if there is none.
func (f *Fencer) Highest(name string) uint64 { return f.targets[name].highest }
