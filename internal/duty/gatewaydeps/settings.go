package gatewaydeps

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/silvermount/silvermount/internal/adapter"
	"github.com/silvermount/silvermount/internal/config"
)

const (
	// defaultGrace is about three times the balancer's lag of 3.2 s.
	defaultGrace = 10 * time.Second
	// defaultPropagationBound suits both bounds: a leaving target keeps serving for seconds, and a change of the configuration is
	// expected to be in force within a few seconds.
	defaultPropagationBound = 3 * time.Second
	// minPropagationBound is the shortest bound that a follower can keep. It then calls the store four times a second for each kind
	// of object, and the rest of the bound leaves time for a pause after a failed call and several calls across a region.
	minPropagationBound = time.Second
	// minGrace is the shortest grace in which a stop can finish requests. Half of the grace goes to the balancer's lag; with less,
	// no time would be left before the 0.45 s that are reserved for the end of the process.
	minGrace = time.Second
	// defaultMaxBody, in bytes, fits a million tokens of four bytes each.
	defaultMaxBody = 4 << 20
	// defaultBodyBudget, in bytes, allows a burst of large bodies. With the garbage that they leave, it is below half of the memory of the
	// smallest instances, which have 184 MB; 24 MiB is not always.
	defaultBodyBudget = 20 << 20
	// defaultMaxResponse, in bytes, is far above the largest answer of a service. It ends a body that has no end before the network and
	// the caller have carried it until the deadline.
	defaultMaxResponse = 256 << 20
	// defaultRetryShare is a fraction of the requests, and defaultRetryFloor a number of attempts in each defaultRetryWindow.
	defaultRetryShare  = 0.1
	defaultRetryFloor  = 20
	defaultRetryWindow = 10 * time.Second
	// defaultDialTimeout covers many round trips inside a region (each at most a few milliseconds). It is well below the objective
	// of a short request, so that there is time to try another target.
	defaultDialTimeout = 250 * time.Millisecond
	// defaultMemoryHold is short enough that memory reserved by a killed instance is free again before the users' requirements
	// count it as lost, which is after four seconds.
	defaultMemoryHold = 3 * time.Second
	// defaultOrderTimeout also covers many round trips inside a region, and leaves time to place the request elsewhere.
	defaultOrderTimeout = 400 * time.Millisecond
)

func defaults(s *config.Settings) {
	gw := *s.Gateway
	setDefault(&gw.Grace, config.Duration(defaultGrace))
	setDefault(&gw.LeavingBound, config.Duration(defaultPropagationBound))
	setDefault(&gw.ConfigurationBound, config.Duration(defaultPropagationBound))
	setDefault(&gw.MaxBodyBytes, defaultMaxBody)
	setDefault(&gw.BodyBudgetBytes, defaultBodyBudget)
	setDefault(&gw.MaxResponseBytes, defaultMaxResponse)
	// A window that is set alone gets no defaults for the others: it is valid without any retries.
	if gw.RetryShare == 0 && gw.RetryFloor == 0 && gw.RetryWindow == 0 {
		gw.RetryShare, gw.RetryFloor = defaultRetryShare, defaultRetryFloor
	}
	setDefault(&gw.RetryWindow, config.Duration(defaultRetryWindow))
	setDefault(&gw.DialTimeout, config.Duration(defaultDialTimeout))
	setDefault(&gw.MemoryHold, config.Duration(defaultMemoryHold))
	setDefault(&gw.OrderTimeout, config.Duration(defaultOrderTimeout))
	s.Gateway = &gw
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

func check(s config.Settings) config.Faults {
	gw := s.Gateway
	fs := checkAdapter(gw)
	fs = append(fs, checkAddresses(gw)...)
	fs = append(fs, checkDurations(gw)...)
	fs = append(fs, checkNumbers(gw)...)
	fs = append(fs, checkZones(gw)...)
	return append(fs, checkBodies(gw)...)
}

func checkAdapter(gw *config.Gateway) config.Faults {
	if _, ok := adapter.Lookup(gw.Adapter); ok {
		return nil
	}
	return config.Faults{{Path: "gateway.adapter", Value: gw.Adapter, Want: "one of " + strings.Join(adapter.Names(), ", ")}}
}

func checkAddresses(gw *config.Gateway) config.Faults {
	fs := config.CheckListen("gateway.callers", gw.Callers)
	fs = append(fs, config.CheckListen("gateway.readiness", gw.Readiness)...)
	fs = append(fs, config.CheckListen("gateway.peers", gw.Peers)...)
	fs = append(fs, config.CheckListen("gateway.metrics", gw.Metrics)...)
	fs = append(fs, config.CheckListen("gateway.store", gw.Store)...)
	for i, seed := range gw.Seeds {
		fs = append(fs, config.CheckListen("gateway.seeds["+strconv.Itoa(i)+"]", seed)...)
	}
	return fs
}

func checkDurations(gw *config.Gateway) config.Faults {
	var fs config.Faults
	if gw.RevocationBound < 0 {
		fs = append(fs, &config.Fault{
			Path: "gateway.revocation_bound", Value: gw.RevocationBound.Std().String(), Want: "a positive duration, or zero for none",
		})
	}
	fs = append(fs, atLeast("gateway.leaving_bound", gw.LeavingBound, minPropagationBound)...)
	fs = append(fs, atLeast("gateway.configuration_bound", gw.ConfigurationBound, minPropagationBound)...)
	if gw.EvacuationBound != 0 {
		fs = append(fs, atLeast("gateway.evacuation_bound", gw.EvacuationBound, minPropagationBound)...)
	}
	fs = append(fs, positive("gateway.dial_timeout", gw.DialTimeout)...)
	fs = append(fs, positive("gateway.order_timeout", gw.OrderTimeout)...)
	fs = append(fs, positive("gateway.memory_hold", gw.MemoryHold)...)
	return append(fs, atLeast("gateway.grace", gw.Grace, minGrace)...)
}

func atLeast(path string, d config.Duration, least time.Duration) config.Faults {
	if d.Std() >= least {
		return nil
	}
	return config.Faults{{Path: path, Value: d.Std().String(), Want: "at least " + least.String()}}
}

func positive(path string, d config.Duration) config.Faults {
	if d > 0 {
		return nil
	}
	return config.Faults{{Path: path, Value: d.Std().String(), Want: "a positive duration"}}
}

func checkNumbers(gw *config.Gateway) config.Faults {
	var fs config.Faults
	if gw.RetryShare < 0 || gw.RetryShare > 1 {
		value := strconv.FormatFloat(gw.RetryShare, 'g', -1, 64)
		fs = append(fs, &config.Fault{Path: "gateway.retry_share", Value: value, Want: "a share from 0 to 1"})
	}
	if gw.RetryFloor < 0 {
		value := strconv.FormatFloat(gw.RetryFloor, 'g', -1, 64)
		fs = append(fs, &config.Fault{Path: "gateway.retry_floor", Value: value, Want: "a number that is not negative"})
	}
	if gw.Megabits < 0 {
		value := strconv.FormatFloat(gw.Megabits, 'g', -1, 64)
		fs = append(fs, &config.Fault{Path: "gateway.megabits", Value: value, Want: "a number that is not negative"})
	}
	if gw.RetryWindow <= 0 {
		value := gw.RetryWindow.Std().String()
		fs = append(fs, &config.Fault{Path: "gateway.retry_window", Value: value, Want: "a positive duration"})
	}
	return fs
}

// checkZones checks the names of the availability zones. One that is there twice would divide the retry floor by too many.
func checkZones(gw *config.Gateway) config.Faults {
	var fs config.Faults
	for i, name := range gw.AvailabilityZones {
		if name == "" || slices.Contains(gw.AvailabilityZones[:i], name) {
			path := "gateway.availability_zones[" + strconv.Itoa(i) + "]"
			fs = append(fs, &config.Fault{Path: path, Value: name, Want: "a name that is not empty and not in the list before"})
		}
	}
	return fs
}

func checkBodies(gw *config.Gateway) config.Faults {
	maxBody, budget := gw.MaxBodyBytes, gw.BodyBudgetBytes
	var fs config.Faults
	if maxBody <= 0 {
		value := strconv.FormatInt(maxBody, 10)
		fs = append(fs, &config.Fault{Path: "gateway.max_body_bytes", Value: value, Want: "a positive number"})
	}
	if gw.MaxResponseBytes <= 0 {
		value := strconv.FormatInt(gw.MaxResponseBytes, 10)
		fs = append(fs, &config.Fault{Path: "gateway.max_response_bytes", Value: value, Want: "a positive number"})
	}
	if budget < max(1, maxBody) {
		value := strconv.FormatInt(budget, 10)
		fs = append(fs, &config.Fault{Path: "gateway.body_budget_bytes", Value: value, Want: "at least max_body_bytes, and positive"})
	}
	return fs
}
