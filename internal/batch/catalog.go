package batch

import (
	"crypto/sha256"
	"strings"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// catalog is a catalog message, indexed. Operators publish it, with the queues,
// the pools of minions (worker processes that run tasks) and the client
// accounts, as the batch configuration.
type catalog struct {
	*apiv1.Catalog
	queues map[string]*apiv1.BatchQueue
	// queuesByHost holds the queues of each host.
	queuesByHost    map[string][]*apiv1.BatchQueue
	queuesByAddress map[queueAddress]*apiv1.BatchQueue
	// addresses holds queues of which only the address is set. Jobs that have ended share
	// them.
	addresses map[queueAddress]*apiv1.BatchQueue
	pools     map[string]*apiv1.BatchPool
	accounts  map[string]*apiv1.BatchAccount
	// accountsByKey is indexed by the SHA-256 hash of a key.
	accountsByKey map[[sha256.Size]byte]*apiv1.BatchAccount
}

// queueAddress is where callers find a queue.
type queueAddress struct{ host, prefix string }

func addressKey(q *apiv1.BatchQueue) queueAddress {
	return queueAddress{q.GetHost(), q.GetPathPrefix()}
}

// newCatalog indexes c; nil is the empty catalog.
func newCatalog(c *apiv1.Catalog) *catalog {
	if c == nil {
		c = &apiv1.Catalog{}
	}
	out := &catalog{
		Catalog:         c,
		queues:          map[string]*apiv1.BatchQueue{},
		queuesByHost:    map[string][]*apiv1.BatchQueue{},
		queuesByAddress: map[queueAddress]*apiv1.BatchQueue{},
		addresses:       map[queueAddress]*apiv1.BatchQueue{},
		pools:           map[string]*apiv1.BatchPool{},
		accounts:        map[string]*apiv1.BatchAccount{},
		accountsByKey:   map[[sha256.Size]byte]*apiv1.BatchAccount{},
	}
	for _, q := range c.Queues {
		out.queues[q.Name] = q
		out.queuesByHost[q.Host] = append(out.queuesByHost[q.Host], q)
		out.queuesByAddress[addressKey(q)] = q
		out.addresses[addressKey(q)] = &apiv1.BatchQueue{Host: q.Host, PathPrefix: q.PathPrefix}
	}
	for _, p := range c.Pools {
		out.pools[p.Name] = p
	}
	for _, a := range c.Accounts {
		out.addAccount(a)
	}
	return out
}

func (c *catalog) addAccount(a *apiv1.BatchAccount) {
	c.accounts[a.Name] = a
	for _, h := range a.KeyHashes {
		if len(h) == sha256.Size {
			c.accountsByKey[[sha256.Size]byte(h)] = a
		}
	}
}

// addressOf returns a queue of which only the address of q is set, nil for nil.
func (c *catalog) addressOf(q *apiv1.BatchQueue) *apiv1.BatchQueue {
	if q == nil {
		return nil
	}
	if shared := c.addresses[addressKey(q)]; shared != nil {
		return shared
	}
	return &apiv1.BatchQueue{Host: q.Host, PathPrefix: q.PathPrefix}
}

// HashKey returns the SHA-256 hash under which a catalog lists a key.
func HashKey(key string) []byte {
	h := sha256.Sum256([]byte(key))
	return h[:]
}

// putCatalog replaces the catalog when c has a higher version. Otherwise it
// changes nothing.
func (s *State) putCatalog(c *apiv1.Catalog) {
	if c.Version <= s.catalog.Version {
		return
	}
	former := s.catalog.pools
	s.catalog = newCatalog(c)
	for name := range former {
		if s.catalog.pools[name] == nil {
			s.formerPools[name] = true
		}
	}
}

// Catalog returns the catalog in force. Its version is zero when none has been
// published.
func (s *State) Catalog() *apiv1.Catalog { return s.catalog.Catalog }

// Pool returns the pool of that name, nil when the catalog has none.
func (s *State) Pool(name string) *apiv1.BatchPool { return s.catalog.pools[name] }

// Account returns the client account of that name, nil when the catalog has none.
func (s *State) Account(name string) *apiv1.BatchAccount { return s.catalog.accounts[name] }

// AuthorizedCall is the result of Authorize: the queue that a call addresses
// and the client account that makes it.
type AuthorizedCall struct {
	Queue *apiv1.BatchQueue
	// Account is empty for a call to an open queue without a key.
	Account string
	// Subpath is the part of the path after the queue's prefix.
	Subpath string
}

// Authorize finds the queue of a call and checks its key. It returns
// NO_CAPACITY before the first catalog is published, UNKNOWN_QUEUE when no queue
// has the host and a prefix of the path, and UNAUTHENTICATED for an unknown key and
// for a missing one, which only open queues accept.
func (s *State) Authorize(call *apiv1.QueueCall) (AuthorizedCall, *result.Error) {
	if s.catalog.Version == 0 {
		return AuthorizedCall{}, result.NotRun(apiv1.ResultCode_RESULT_CODE_NO_CAPACITY, "no catalog has been published yet")
	}
	q := s.catalog.route(call.GetHost(), call.GetPath())
	if q == nil {
		return AuthorizedCall{}, result.NotRun(apiv1.ResultCode_RESULT_CODE_UNKNOWN_QUEUE, "no queue at %s%s", call.GetHost(), call.GetPath())
	}
	authorized := AuthorizedCall{Queue: q, Subpath: strings.TrimPrefix(call.GetPath(), q.PathPrefix)}
	account := s.catalog.accountsByKey[sha256.Sum256([]byte(call.GetKey()))]
	switch {
	case account != nil:
		authorized.Account = account.Name
	case !q.Open || call.GetKey() != "":
		return AuthorizedCall{}, result.NotRun(apiv1.ResultCode_RESULT_CODE_UNAUTHENTICATED, "the key is not known")
	}
	return authorized, nil
}

// route returns the queue of the host whose path prefix is the longest that
// matches, nil when none matches.
func (c *catalog) route(host, path string) *apiv1.BatchQueue {
	var longest *apiv1.BatchQueue
	for _, q := range c.queuesByHost[host] {
		if strings.HasPrefix(path, q.PathPrefix) && (longest == nil || len(q.PathPrefix) > len(longest.PathPrefix)) {
			longest = q
		}
	}
	return longest
}

// queueOf returns the queue of the catalog that a job belongs to, nil if there is none.
// Callers know queues by their address and a catalog may give a queue another name, so
// it is the queue at the address where the job was accepted. If there is none, it is the
// queue of the name, which has another address now.
func (c *catalog) queueOf(j *Job) *apiv1.BatchQueue {
	named := c.queues[j.Queue]
	if j.AcceptedQueue == nil || named != nil && addressKey(named) == addressKey(j.AcceptedQueue) {
		return named
	}
	if q := c.queuesByAddress[addressKey(j.AcceptedQueue)]; q != nil {
		return q
	}
	return named
}

// QueueOf returns the queue of a job from the catalog in force. When that has neither a
// queue at its address nor one of its name, it returns the settings that the queue had
// when the job was accepted; only their address is left once the job has ended and has no
// runs (executions of its tasks).
func (s *State) QueueOf(j *Job) *apiv1.BatchQueue {
	if q := s.catalog.queueOf(j); q != nil {
		return q
	}
	return j.AcceptedQueue
}

// queueName returns the name of a job's queue in the catalog in force, or the name that
// the queue had when the job was accepted if the catalog no longer has it.
func (s *State) queueName(j *Job) string {
	if q := s.catalog.queueOf(j); q != nil {
		return q.Name
	}
	return j.Queue
}
