package tunnelclient

import (
	"math/rand/v2"
	"slices"
	"time"
)

// choose returns the next peer to ask, and false if there is none. It takes this availability zone and the others in turn, since a whole
// zone may be cut off, and of two random peers the one that forwards less for its bandwidth.
func (cl *Client) choose(asked []string) (Peer, bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.load()
	groups := [][]Peer{cl.near, cl.far}
	if len(asked)%2 == 1 {
		slices.Reverse(groups)
	}
	for _, group := range groups {
		if pr, ok := cl.chooseFrom(group, asked); ok {
			return pr, true
		}
	}
	return Peer{}, false
}

// load updates the list of peers. The lock is held.
func (cl *Client) load() {
	peers, version := cl.Peers()
	if cl.loaded && version == cl.version {
		return
	}
	cl.loaded, cl.version = true, version
	cl.near, cl.far = nil, nil
	live := map[string]bool{}
	for _, pr := range peers {
		live[pr.Name] = true
		switch {
		case pr.Name == cl.Instance || pr.Stopping:
		case pr.AvailabilityZone == cl.AvailabilityZone:
			cl.near = append(cl.near, pr)
		default:
			cl.far = append(cl.far, pr)
		}
	}
	for name, st := range cl.states {
		if !live[name] && st.open == 0 {
			delete(cl.states, name)
		}
	}
}

const (
	// choices is how many usable peers are compared for each choice.
	choices = 2
	// maxDraws bounds the random draws for a choice among peers of which many cannot be used.
	maxDraws = 16
)

// chooseFrom chooses among the peers of a group. The lock is held.
func (cl *Client) chooseFrom(group []Peer, asked []string) (Peer, bool) {
	now := cl.Now()
	var best Peer
	found, usable := false, 0
	start := 0
	if len(group) > 0 {
		start = rand.IntN(len(group))
	}
	for i := range min(len(group), maxDraws) {
		pr := group[(start+i)%len(group)]
		if len(group) > maxDraws {
			pr = group[rand.IntN(len(group))]
		}
		if slices.Contains(asked, pr.Name) || !cl.isUsable(pr.Name, now) {
			continue
		}
		if !found || cl.cost(pr, now) < cl.cost(best, now) {
			best, found = pr, true
		}
		if usable++; usable == choices {
			break
		}
	}
	return best, found
}

func (cl *Client) isUsable(name string, now time.Time) bool {
	st := cl.states[name]
	return st == nil || !now.Before(st.avoidUntil)
}

// cost returns how much a peer forwards for its bandwidth. The lock is held.
func (cl *Client) cost(pr Peer, now time.Time) float64 {
	open := 0
	if st := cl.states[pr.Name]; st != nil {
		open = st.open
		if now.Sub(st.reportedAt) < reportPeriod {
			open = max(open, st.reported)
		}
	}
	return float64(1+open) / float64(max(1, pr.BandwidthMbps))
}
