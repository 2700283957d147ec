package e2e

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/callerapi"
	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/job"
	"github.com/silvermount/silvermount/internal/localfleet"
	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/standin/tokengen"
)

func startJobFleet(t *testing.T, scale float64) *localfleet.Fleet {
	t.Helper()
	return startFleet(t, localfleet.Options{
		Zones: 1, Engines: 2, Instances: 3, EngineParams: fastEngines(scale),
		AdjustSettings: func(s *config.Settings) { s.Platform.Registration = config.Duration(300 * time.Millisecond) },
	})
}

// submit creates a job and returns its record.
func submit(t *testing.T, url, prompt string, headers ...string) job.Record {
	t.Helper()
	headers = append([]string{callerapi.HeaderClass, localfleet.ClassJob, "Silvermount-Path", "/v1/completions"}, headers...)
	resp := call(t, http.MethodPost, url+"/v1/jobs", completion(prompt, 4, false), headers...)
	var rc job.Record
	g := NewWithT(t)
	g.Expect(resp.status).To(Equal(http.StatusOK), resp.body)
	g.Expect(json.Unmarshal([]byte(resp.body), &rc)).To(Succeed())
	return rc
}

// jobState returns a function that reads the state of a job from an instance.
func jobState(t *testing.T, url, id string) func() job.State {
	return func() job.State {
		var rc job.Record
		_ = json.Unmarshal([]byte(call(t, http.MethodGet, url+"/v1/jobs/"+id, nil).body), &rc)
		return rc.State
	}
}

// TestJobsSurviveStopOfTheirInstance stops every instance but one while jobs run.
func TestJobsSurviveStopOfTheirInstance(t *testing.T) {
	g := NewWithT(t)
	lf := startJobFleet(t, 20)
	prompts := map[string]string{}
	for i := range 6 {
		prompt := strings.Repeat("deed ", 20_000+i)
		prompts[submit(t, lf.URLs()[i%3], prompt).ID] = prompt
	}
	remainingURL := lf.URLs()[2]
	for _, in := range lf.Instances[:2] {
		go func() { _ = in.Stop(t.Context()) }()
	}
	for id, prompt := range prompts {
		g.Eventually(jobState(t, remainingURL, id), 30*time.Second, 50*time.Millisecond).Should(Equal(job.Done))
		resp := call(t, http.MethodGet, remainingURL+"/v1/jobs/"+id+"/answer", nil)
		g.Expect(resp.body).To(ContainSubstring(tokengen.Generate(prompt, 4)))
	}
}

// TestJobOfPartitionedInstanceIsTakenOver partitions the owner of two jobs from the store and from its peers while the jobs
// run. After the partition, the old owner still acts as if it owned them; its writes must not change their results.
func TestJobOfPartitionedInstanceIsTakenOver(t *testing.T) {
	g := NewWithT(t)
	var partitionedZone atomic.Pointer[string]
	storeFronts := map[string]*localfleet.StoreProxy{}
	lf := startFleet(t, localfleet.Options{
		Zones: 3, Engines: 3, Instances: 3, EngineParams: fastEngines(200),
		ZoneLinkBlocked: func(from, to string) bool { z := partitionedZone.Load(); return z != nil && (from == *z) != (to == *z) },
		AdjustSettings: func(s *config.Settings) {
			s.Platform.Registration = config.Duration(300 * time.Millisecond)
			fr, err := localfleet.NewStoreProxy(s.Platform.URL)
			g.Expect(err).NotTo(HaveOccurred())
			storeFronts[s.AvailabilityZone] = fr
			s.Platform.URL = fr.URL
		},
	})
	for _, en := range lf.Engines {
		en.SetHung(true)
	}
	repeatable := submit(t, lf.URLs()[0], "a deed")
	atMostOnce := submit(t, lf.URLs()[0], "a valve record", callerapi.HeaderRepeat, "never")
	storedRecord := func(id string) (out job.Record) {
		o, ok := lf.Store.Object(objectstore.KindJobs, id)
		g.Expect(ok).To(BeTrue())
		v, err := job.Decode(o)
		g.Expect(err).NotTo(HaveOccurred())
		return v.Record
	}
	g.Eventually(func() bool {
		return storedRecord(repeatable.ID).State == job.Running && storedRecord(atMostOnce.ID).Dispatched
	}, 10*time.Second).Should(BeTrue())
	// Only the owner of the at-most-once job is partitioned. The repeatable job may belong to it or to another instance.
	owner := storedRecord(atMostOnce.ID).Owner
	for _, in := range lf.Instances {
		if in.Env().Incarnation == owner {
			zone := in.Env().Settings.AvailabilityZone
			storeFronts[zone].SetBlocked(true)
			partitionedZone.Store(&zone)
		}
	}
	g.Eventually(func() job.State { return storedRecord(atMostOnce.ID).State }, 15*time.Second).Should(Equal(job.Unknown))
	for _, fr := range storeFronts {
		fr.SetBlocked(false)
	}
	partitionedZone.Store(nil)
	for _, en := range lf.Engines {
		en.SetHung(false)
	}
	g.Eventually(func() job.State { return storedRecord(repeatable.ID).State }, 15*time.Second).Should(Equal(job.Done))
	g.Consistently(func() job.State { return storedRecord(atMostOnce.ID).State }, 500*time.Millisecond).Should(Equal(job.Unknown))
}

func TestJobIsCreatedOnceWhenStoreAnswersAreLost(t *testing.T) {
	g := NewWithT(t)
	lf := startJobFleet(t, 200)
	lf.Store.LoseResponses(2)
	rc := submit(t, lf.URLs()[0], "a deed")
	g.Eventually(jobState(t, lf.URLs()[1], rc.ID), 10*time.Second).Should(Equal(job.Done))
	resp := call(t, http.MethodGet, lf.URLs()[1]+"/v1/jobs", nil)
	g.Expect(strings.Count(resp.body, `"id"`)).To(Equal(1))
}

func TestCancelledJobStaysCancelled(t *testing.T) {
	g := NewWithT(t)
	lf := startJobFleet(t, 200)
	for _, en := range lf.Engines {
		en.SetHung(true)
	}
	rc := submit(t, lf.URLs()[0], "a deed")
	g.Eventually(jobState(t, lf.URLs()[0], rc.ID), 10*time.Second).Should(Equal(job.Running))
	g.Eventually(func() int {
		return call(t, http.MethodDelete, lf.URLs()[1]+"/v1/jobs/"+rc.ID, nil).status
	}, 5*time.Second).Should(Equal(http.StatusOK))
	g.Consistently(jobState(t, lf.URLs()[0], rc.ID), 500*time.Millisecond).Should(Equal(job.Cancelled))
	resp := call(t, http.MethodGet, lf.URLs()[0]+"/v1/jobs/"+rc.ID+"/answer", nil)
	g.Expect(resp.code).To(Equal("conflict"))
}
