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
	role atomic.Pointer[func() Role]
	// reach is told whether the store answers this instance.
	onStoreResult atomic.Pointer[func(answered bool)]

	mu sync.Mutex
	// newest is the newest configuration that a peer told of.
	newestPeerVersion int64
	// lacked are those told of that were not in force when last asked, the oldest first and at most maxLacked: a storm of
	// versions does not make the time begin anew for which this instance lacks one.
	missing []peerVersion
}

// toldVersion is a configuration that a peer told of, and when one first did.
type peerVersion struct {
	version int64
	at      time.Time
}

// maxLacked bounds the configurations remembered as lacking: beyond it, who gets one of the later ones lacks the next for longer
// than it says, and asks the store sooner.
const maxMissing = 64

// Heard notes a configuration that a peer told of.
func (sc *StoreCoordinator) RecordPeerVersion(version int64) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if version > sc.newestPeerVersion {
		sc.newestPeerVersion = version
		sc.addMissing(peerVersion{version: version, at: time.Now()})
	}
}

// lack remembers a version; beyond the bound the last one stands for it, with its earlier time. The lock is held.
func (sc *StoreCoordinator) addMissing(tv peerVersion) {
	if len(sc.missing) < maxMissing {
		sc.missing = append(sc.missing, tv)
		return
	}
	sc.missing[maxMissing-1].version = tv.version
}

// Newest returns the newest configuration that a peer told of.
func (sc *StoreCoordinator) NewestPeerVersion() int64 {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.newestPeerVersion
}

// Lacking returns for how long peers have told of a newer configuration than that in force; zero when none did.
func (sc *StoreCoordinator) BehindFor(version int64) time.Duration {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.missing = slices.DeleteFunc(sc.missing, func(tv peerVersion) bool { return tv.version <= version })
	if len(sc.missing) == 0 {
		return 0
	}
	return time.Since(sc.missing[0].at)
}

// Set sets who decides.
func (sc *StoreCoordinator) SetRole(part func() Role) { sc.role.Store(&part) }

// SetReach sets who is told whether the store answers this instance.
func (sc *StoreCoordinator) SetOnStoreResult(reach func(answered bool)) {
	sc.onStoreResult.Store(&reach)
}

// Reach tells whether the store answers this instance; before SetReach it does nothing.
func (sc *StoreCoordinator) ReportStoreResult(answered bool) {
	if reach := sc.onStoreResult.Load(); reach != nil {
		(*reach)(answered)
	}
}

// Part returns this instance's part; before Set it has met nobody.
func (sc *StoreCoordinator) Role() Role {
	part := sc.role.Load()
	if part == nil {
		return RoleJoining
	}
	return (*part)()
}

// Follows reports whether this instance has to follow the store itself.
func (sc *StoreCoordinator) FollowsStore() bool { return sc.Role() < RoleStandby }
