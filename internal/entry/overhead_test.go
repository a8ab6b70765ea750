package entry

import (
	"io"
	"net/http"
	"testing"
)

// BenchmarkEntryOverhead compares calls through an entry process with direct
// calls to the same minion. The control group and the shard host, which permits
// each request, are in-process fakes, so the difference is the entry process's
// own work and one more connection over loopback.
func BenchmarkEntryOverhead(b *testing.B) {
	h := newHarness(b, 1, 1)
	h.shard.maxConnections = 64
	get := func(url string, header http.Header) func(*testing.B) {
		return func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				req, _ := http.NewRequest("GET", url, nil)
				req.Header = header
				resp, err := h.client.Do(req)
				if err != nil {
					b.Fatal(err)
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
		}
	}
	b.Run("direct", get("http://"+h.minions[0].Address()+"/", http.Header{headerRequestID: {"x"}}))
	b.Run("entry", get(h.urls[0]+"/v1/services/alerts/", http.Header{
		"Authorization": {"Bearer " + h.credential}, headerQueue: {"heat"},
	}))
	b.Run("entry-once", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if r := h.send(0, "POST", "/v1/services/alerts/", "x", headerIdempotencyKey, newAttemptID()); r.status != 200 {
				b.Fatal(r.body)
			}
		}
	})
}
