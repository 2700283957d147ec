package forwarding

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Part is what an instance does for the fleet's knowledge of the store.
type Role int

// An instance that has met nobody yet, or is one of few, follows the store for itself only. A follower follows it for the whole
// fleet. The others hear of it from peers: a stand-in asks the store when the followers are silent, a listener when the stand-ins are
// silent too.
const (
	RoleJoining Role = iota
	RoleStandalone
	RoleFollower
	RoleStandby
	RoleListener
)

// Followers says whether this instance follows the store for others. It is safe for use by any goroutine.
type StoreCoordinator struct {
	part atomic.Pointer[func() Role]
	// reach is told whether the store answers this instance.
	reach atomic.Pointer[func(answered bool)]

	mu sync.Mutex
	// newest is the newest configuration that a peer told of.
	newest int64
	// lacked are those told of that were not in force when last asked, the oldest first and at most maxLacked: a storm of
	// versions does not make the time begin anew for which this instance lacks one.
	lacked []toldVersion
}

// toldVersion is a configuration that a peer told of, and when one first did.
type toldVersion struct {
	version int64
	at      time.Time
}

// maxLacked bounds the configurations remembered as lacking: beyond it, who gets one of the later ones lacks the next for longer
// than it says, and asks the store sooner.
const maxLacked = 64

// Heard notes a configuration that a peer told of.
func (fo *StoreCoordinator) RecordPeerVersion(version int64) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if version > fo.newest {
		fo.newest = version
		fo.lack(toldVersion{version: version, at: time.Now()})
	}
}

// lack remembers a version; beyond the bound the last one stands for it, with its earlier time. The lock is held.
func (fo *StoreCoordinator) lack(tv toldVersion) {
	if len(fo.lacked) < maxLacked {
		fo.lacked = append(fo.lacked, tv)
		return
	}
	fo.lacked[maxLacked-1].version = tv.version
}

// Newest returns the newest configuration that a peer told of.
func (fo *StoreCoordinator) NewestPeerVersion() int64 {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.newest
}

// Lacking returns for how long peers have told of a newer configuration than that in force; zero when none did.
func (fo *StoreCoordinator) BehindFor(version int64) time.Duration {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.lacked = slices.DeleteFunc(fo.lacked, func(tv toldVersion) bool { return tv.version <= version })
	if len(fo.lacked) == 0 {
		return 0
	}
	return time.Since(fo.lacked[0].at)
}

// Set sets who decides.
func (fo *StoreCoordinator) SetRole(part func() Role) { fo.part.Store(&part) }

// SetReach sets who is told whether the store answers this instance.
func (fo *StoreCoordinator) SetOnStoreResult(reach func(answered bool)) { fo.reach.Store(&reach) }

// Reach tells whether the store answers this instance; before SetReach it does nothing.
func (fo *StoreCoordinator) ReportStoreResult(answered bool) {
	if reach := fo.reach.Load(); reach != nil {
		(*reach)(answered)
	}
}

// Part returns this instance's part; before Set it has met nobody.
func (fo *StoreCoordinator) Role() Role {
	part := fo.part.Load()
	if part == nil {
		return RoleJoining
	}
	return (*part)()
}

// Follows reports whether this instance has to follow the store itself.
func (fo *StoreCoordinator) FollowsStore() bool { return fo.Role() < RoleStandby }
