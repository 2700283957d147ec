package objectsim_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/standin/objectsim"
)

func TestRestoredStoreAssignsItsRevisionsAgain(t *testing.T) {
	g := NewWithT(t)
	sm, err := objectsim.Start()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(sm.Close)
	put := func(name string) int64 {
		revision, err := sm.PutSpec("things", name, name)
		g.Expect(err).NotTo(HaveOccurred())
		return revision
	}
	status := func(path string) (code int, era string) {
		resp, err := http.Get(sm.URL() + path)
		g.Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		return resp.StatusCode, resp.Header.Get("Store-Era")
	}
	put("a")
	snapshot := sm.Snapshot()
	lostRevision := put("b")
	sm.Restore(snapshot)
	g.Expect(sm.Objects("things")).To(HaveLen(1))
	code, era := status("/objects/things?watch=2&wait_ms=1")
	g.Expect(code).To(Equal(http.StatusGone), "the restore took the revision back")
	g.Expect(era).To(Equal("1"))
	g.Expect(put("c")).To(Equal(lostRevision), "the restored store assigns the revision again")
	code, era = status("/objects/things")
	g.Expect(code).To(Equal(http.StatusOK))
	g.Expect(era).To(Equal("1"))
	code, _ = status("/objects/things?watch=2&wait_ms=1")
	g.Expect(code).To(Equal(http.StatusOK))
}
