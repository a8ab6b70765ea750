package replica

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// BenchmarkPropose measures commits per second of three replicas in one process
// that sync their logs to disk.
func BenchmarkPropose(b *testing.B) {
	for _, callers := range []int{1, 256} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) { benchmarkPropose(b, callers) })
	}
}

func benchmarkPropose(b *testing.B, callers int) {
	c := newClusterWith(b, 3, func(o *Options) {
		o.HeartbeatInterval, o.ElectionTimeout, o.SnapshotEntries = 0, 0, 0
	})
	node := c.leader().node
	var next atomic.Int64
	var wg sync.WaitGroup
	b.ResetTimer()
	start := time.Now()
	for range callers {
		wg.Go(func() {
			for next.Add(1) <= int64(b.N) {
				if _, err := node.Propose(b.Context(), publish("author")); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "commits/s")
}
