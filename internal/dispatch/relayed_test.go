package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotdrum.example/bergamotdrum/internal/clock"
	"bergamotdrum.example/bergamotdrum/internal/dispatch"
	"bergamotdrum.example/bergamotdrum/internal/fakes"
	"bergamotdrum.example/bergamotdrum/internal/relay"
)

var replicas = []string{"a", "b", "c"}

// relayVia returns replicas that make the calls to minions, with faults of their own:
// they are suspended for up to four seconds, cut off from the leader, or restored.
func relayVia(seed uint64, direct dispatch.MinionClient, c clock.Clock, network *fakes.StreamNetwork) *dispatch.Via {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	network.Serve = func(ctx context.Context, _ string, s *fakes.Stream) {
		relay.NewServer(direct, c, func() uint64 { return 1 }).Serve(ctx, s)
	}
	client := relay.NewClient(relay.Options{
		Direct: direct, Peers: func() []string { return replicas }, Clock: c, Log: logrus.NewEntry(quiet),
		Open: func(ctx context.Context, address string) (relay.Stream, error) { return network.Open(ctx, address) },
	})
	random := rand.New(rand.NewPCG(seed, 30))
	return &dispatch.Via{
		Minions: client, Lead: func(ctx context.Context) { client.Run(ctx, 1) },
		InjectFault: func() {
			address := replicas[random.IntN(len(replicas))]
			switch random.IntN(8) {
			case 0, 1:
				network.Suspend(address, time.Duration(random.IntN(4000))*time.Millisecond)
			case 2:
				network.Cut(address)
			case 3, 4:
				network.Restore(address)
			}
		},
		EndFaults: func() {
			for _, address := range replicas {
				network.Restore(address)
			}
		},
	}
}

// Guards against a task that runs twice, starts after its end was acknowledged, or is
// never done, when replicas make the leader's calls and are suspended, cut off and
// restored while leaders change, minions restart, and answers are lost or late.
func TestRandomFaultsOfReplicas(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := fakes.NewStreamNetwork()
				defer network.Close()
				dispatch.PlayRandomFaults(t, seed, func(direct dispatch.MinionClient, c clock.Clock) *dispatch.Via {
					return relayVia(seed, direct, c, network)
				})
			})
		})
	}
}
