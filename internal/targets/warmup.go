package targets

// Cold reports whether a target is still warming up, and returns its service.
func (dr *Directory) Cold(id string) (service string, cold bool) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	en, ok := dr.entries[id]
	if !ok || !dr.now().Before(en.warmAt) {
		return "", false
	}
	return en.Service, true
}

// ColdCount returns the number of listed targets that are still warming up.
func (dr *Directory) ColdCount() int {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	now := dr.now()
	n := 0
	for _, en := range dr.entries {
		if en.missingSince.IsZero() && now.Before(en.warmAt) {
			n++
		}
	}
	return n
}
