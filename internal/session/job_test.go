package session

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/job"
	"github.com/silvermount/silvermount/internal/localfleet"
	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/serve"
	"github.com/silvermount/silvermount/internal/standin/answer"
)

func jobFleet(t *testing.T, scale float64) *localfleet.Fleet {
	t.Helper()
	return start(t, localfleet.Options{
		Zones: 1, Engines: 2, Instances: 3, Params: fast(scale),
		Adjust: func(s *config.Settings) { s.Platform.Registration = config.Duration(300 * time.Millisecond) },
	})
}

func submit(t *testing.T, url, prompt string, headers ...string) job.Record {
	t.Helper()
	headers = append([]string{serve.HeaderClass, localfleet.ClassJob, "Silvermount-Path", "/v1/completions"}, headers...)
	rep := call(t, http.MethodPost, url+"/v1/jobs", completion(prompt, 4, false), headers...)
	var rc job.Record
	g := NewWithT(t)
	g.Expect(rep.status).To(Equal(http.StatusOK), rep.body)
	g.Expect(json.Unmarshal([]byte(rep.body), &rc)).To(Succeed())
	return rc
}

func stateOf(t *testing.T, url, id string) func() job.State {
	return func() job.State {
		var rc job.Record
		_ = json.Unmarshal([]byte(call(t, http.MethodGet, url+"/v1/jobs/"+id, nil).body), &rc)
		return rc.State
	}
}

// TestJobsSurviveTheInstanceThatRunsThem stops every instance but one while jobs run.
func TestJobsSurviveTheInstanceThatRunsThem(t *testing.T) {
	g := NewWithT(t)
	lf := jobFleet(t, 20)
	prompts := map[string]string{}
	for i := range 6 {
		prompt := strings.Repeat("deed ", 20_000+i)
		prompts[submit(t, lf.URLs()[i%3], prompt).ID] = prompt
	}
	last := lf.URLs()[2]
	for _, in := range lf.Instances[:2] {
		go func() { _ = in.Stop(t.Context()) }()
	}
	for id, prompt := range prompts {
		g.Eventually(stateOf(t, last, id), 30*time.Second, 50*time.Millisecond).Should(Equal(job.Done))
		rep := call(t, http.MethodGet, last+"/v1/jobs/"+id+"/answer", nil)
		g.Expect(rep.body).To(ContainSubstring(answer.Generate(prompt, 4)))
	}
}

// TestJobOfALostInstanceIsTakenOver cuts the owner of two jobs off from the store and from its peers while the jobs
// run, then lets it come back and act as if it still owned them.
func TestJobOfALostInstanceIsTakenOver(t *testing.T) {
	g := NewWithT(t)
	var lost atomic.Pointer[string]
	fronts := map[string]*localfleet.Front{}
	lf := start(t, localfleet.Options{
		Zones: 3, Engines: 3, Instances: 3, Params: fast(200),
		Blocked: func(from, to string) bool { z := lost.Load(); return z != nil && (from == *z) != (to == *z) },
		Adjust: func(s *config.Settings) {
			s.Platform.Registration = config.Duration(300 * time.Millisecond)
			fr, err := localfleet.NewFront(s.Platform.URL)
			g.Expect(err).NotTo(HaveOccurred())
			fronts[s.AvailabilityZone] = fr
			s.Platform.URL = fr.URL
		},
	})
	for _, en := range lf.Engines {
		en.SetHung(true)
	}
	rc := submit(t, lf.URLs()[0], "a deed")
	never := submit(t, lf.URLs()[0], "a valve record", serve.HeaderRepeat, "never")
	record := func(id string) (out job.Record) {
		o, ok := lf.Store.Object(objectstore.KindJobs, id)
		g.Expect(ok).To(BeTrue())
		v, err := job.Decode(o)
		g.Expect(err).NotTo(HaveOccurred())
		return v.Record
	}
	g.Eventually(func() bool { return record(rc.ID).State == job.Running && record(never.ID).Dispatched }, 10*time.Second).Should(BeTrue())
	// Only the jobs of the instance that is cut off are looked at from here on.
	owner := record(never.ID).Owner
	for _, in := range lf.Instances {
		if in.Env().Incarnation == owner {
			zone := in.Env().Settings.AvailabilityZone
			fronts[zone].SetCut(true)
			lost.Store(&zone)
		}
	}
	g.Eventually(func() job.State { return record(never.ID).State }, 15*time.Second).Should(Equal(job.Unknown))
	for _, fr := range fronts {
		fr.SetCut(false)
	}
	lost.Store(nil)
	for _, en := range lf.Engines {
		en.SetHung(false)
	}
	g.Eventually(func() job.State { return record(rc.ID).State }, 15*time.Second).Should(Equal(job.Done))
	g.Consistently(func() job.State { return record(never.ID).State }, 500*time.Millisecond).Should(Equal(job.Unknown))
}

func TestJobsAreAcceptedOnceTheStoreHasThem(t *testing.T) {
	g := NewWithT(t)
	lf := jobFleet(t, 200)
	lf.Store.LoseResponses(2)
	rc := submit(t, lf.URLs()[0], "a deed")
	g.Eventually(stateOf(t, lf.URLs()[1], rc.ID), 10*time.Second).Should(Equal(job.Done))
	rep := call(t, http.MethodGet, lf.URLs()[1]+"/v1/jobs", nil)
	g.Expect(strings.Count(rep.body, `"id"`)).To(Equal(1))
}

func TestJobIsCancelled(t *testing.T) {
	g := NewWithT(t)
	lf := jobFleet(t, 200)
	for _, en := range lf.Engines {
		en.SetHung(true)
	}
	rc := submit(t, lf.URLs()[0], "a deed")
	g.Eventually(stateOf(t, lf.URLs()[0], rc.ID), 10*time.Second).Should(Equal(job.Running))
	g.Eventually(func() int {
		return call(t, http.MethodDelete, lf.URLs()[1]+"/v1/jobs/"+rc.ID, nil).status
	}, 5*time.Second).Should(Equal(http.StatusOK))
	g.Consistently(stateOf(t, lf.URLs()[0], rc.ID), 500*time.Millisecond).Should(Equal(job.Cancelled))
	rep := call(t, http.MethodGet, lf.URLs()[0]+"/v1/jobs/"+rc.ID+"/answer", nil)
	g.Expect(rep.code).To(Equal("conflict"))
}
