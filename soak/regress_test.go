//go:build linux

package soak_test

import "time"

// regression is one seed that failed, with the schedule as it was drawn then: a changed menu draws another one.
type regression struct {
	seed      uint64
	instances int
	faults    time.Duration
	steps     []step
}

// ms is one millisecond, the unit of a schedule.
const ms = time.Millisecond

// broken holds the seeds that ever failed by what they broke, each with its cause.
var broken = map[string]regression{
	// A lapsed incarnation and the next at its address both took part in one prompt, so its memory there was one ticket
	// used twice: internal/targets, TestOneIncarnationAtAnAddress.
	"one request uses a ticket, 4": {seed: 4, instances: 3, faults: 12 * time.Second, steps: []step{
		{65 * ms, 1884 * ms, peerLinks, "silence", 1180, 10293},
		{756 * ms, 4109 * ms, lives, "crash series", 55209, 24778},
		{1702 * ms, 583 * ms, storage, "down reset", 26232, 6514},
		{1909 * ms, 3113 * ms, processes, "term then kill", 49599, 16959},
		{2012 * ms, 4198 * ms, storage, "down silent", 11999, 56691},
		{2227 * ms, 2063 * ms, peerLinks, "delay", 61602, 54212},
		{2265 * ms, 5891 * ms, storage, "all silent", 39001, 34737},
		{3103 * ms, 1421 * ms, peerLinks, "isolate from peers", 28307, 14862},
		{3273 * ms, 2799 * ms, storage, "forget and cut", 35270, 42971},
		{3276 * ms, 273 * ms, storage, "down silent", 27500, 61380},
		{3644 * ms, 3866 * ms, storage, "all silent", 22794, 11817},
		{4136 * ms, 2478 * ms, storage, "down many", 47463, 57491},
		{4728 * ms, 4203 * ms, storage, "down many", 18534, 40309},
		{4830 * ms, 4715 * ms, peerLinks, "silence", 23251, 36802},
		{5929 * ms, 693 * ms, configuration, "change", 56076, 9479},
		{6057 * ms, 3378 * ms, lives, "vanish", 25393, 17931},
		{6291 * ms, 1714 * ms, configuration, "changes", 20159, 2350},
		{6302 * ms, 614 * ms, processes, "pause", 64503, 26585},
		{6442 * ms, 288 * ms, processes, "hangup", 46297, 27136},
		{6779 * ms, 2267 * ms, peerLinks, "silence", 21692, 45325},
		{7071 * ms, 993 * ms, processes, "kill", 7231, 35622},
		{7665 * ms, 627 * ms, configuration, "change", 55664, 58176},
		{8002 * ms, 1679 * ms, processes, "hangup", 37376, 12925},
		{8168 * ms, 1505 * ms, storage, "forget and cut", 24687, 34203},
		{8268 * ms, 130 * ms, storage, "all reset", 62983, 10558},
		{8967 * ms, 1705 * ms, configuration, "changes", 59621, 22659},
		{9956 * ms, 175 * ms, configuration, "change", 34565, 31462},
		{10091 * ms, 191 * ms, storage, "hold calls", 16608, 2986},
	}},
	// The cause of 4.
	"one request uses a ticket, 23": {seed: 23, instances: 3, faults: 12 * time.Second, steps: []step{
		{327 * ms, 1649 * ms, processes, "pause then kill", 17429, 60367},
		{858 * ms, 567 * ms, processes, "kill twice", 51516, 44916},
		{922 * ms, 5387 * ms, lives, "vanish", 65420, 64583},
		{1127 * ms, 1020 * ms, configuration, "changes", 63798, 54742},
		{1363 * ms, 2679 * ms, lives, "crash", 12467, 59740},
		{2236 * ms, 1343 * ms, processes, "pause then term", 44149, 58947},
		{2300 * ms, 945 * ms, storage, "down busy", 41613, 18635},
		{2301 * ms, 2211 * ms, storage, "hold calls", 57078, 42935},
		{2303 * ms, 184 * ms, lives, "vanish", 44328, 22751},
		{4438 * ms, 5436 * ms, lives, "vanish", 32851, 16274},
		{4675 * ms, 5327 * ms, storage, "all silent", 19826, 30198},
		{5155 * ms, 1466 * ms, storage, "lapse", 8614, 9749},
		{5286 * ms, 1788 * ms, processes, "pause", 44284, 29286},
		{5998 * ms, 3064 * ms, storage, "down many", 42105, 32800},
		{6196 * ms, 4100 * ms, storage, "hold answers", 24292, 43111},
		{7428 * ms, 481 * ms, lives, "vanish", 41461, 18386},
		{7728 * ms, 110 * ms, storage, "forget", 24390, 2724},
		{7989 * ms, 208 * ms, configuration, "change", 27117, 283},
		{8294 * ms, 249 * ms, lives, "vanish", 2856, 39039},
		{8308 * ms, 173 * ms, lives, "drain", 27701, 16349},
		{9133 * ms, 1858 * ms, targetFaults, "slow", 54046, 14004},
		{9886 * ms, 182 * ms, processes, "kill", 40423, 22669},
		{10090 * ms, 540 * ms, storage, "forget", 62495, 23241},
		{10514 * ms, 297 * ms, configuration, "change", 62672, 44865},
		{10532 * ms, 399 * ms, lives, "drain", 5154, 61581},
		{10641 * ms, 1058 * ms, lives, "crash series", 7634, 50899},
		{10657 * ms, 663 * ms, storage, "all reset", 51751, 18436},
		{10729 * ms, 156 * ms, processes, "hangups", 51853, 43621},
	}},
}
