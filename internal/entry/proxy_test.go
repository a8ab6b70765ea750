package entry

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a request that does not reach the minion or whose response
// does not come back whole.
func TestRequestIsServedEndToEnd(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 1, 1)
	r := w.send(0, "POST", "/v1/services/alerts/rooms//12?since=3", "39 degrees", headerRepeatable, "true")
	g.Expect(r.err).NotTo(HaveOccurred())
	g.Expect(r.status).To(Equal(200))
	g.Expect(r.code()).To(Equal("1"))
	g.Expect(r.body).To(HaveSuffix(" 39 degrees"))
}
