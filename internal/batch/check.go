package batch

import (
	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// CheckCatalog returns CONFIG_INVALID for a catalog (the queues, the pools and
// the client accounts of batch jobs) in which a name is missing or not unique, a
// queue names an unknown pool, has no timeout or has the host and path prefix of
// another, or two accounts share a key.
func CheckCatalog(c *apiv1.Catalog) error {
	pools := map[string]bool{}
	for _, p := range c.Pools {
		if p.Name == "" || pools[p.Name] {
			return invalidCatalog("pool %q has no name of its own", p.Name)
		}
		pools[p.Name] = true
	}
	if err := checkQueues(c.Queues, pools); err != nil {
		return err
	}
	return checkAccounts(c.Accounts)
}

func invalidCatalog(format string, args ...any) error {
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_CONFIG_INVALID, format, args...)
}

func checkQueues(queues []*apiv1.BatchQueue, pools map[string]bool) error {
	names, routes := map[string]bool{}, map[queueAddress]string{}
	for _, q := range queues {
		at := addressKey(q)
		switch other, taken := routes[at]; {
		case q.Name == "" || names[q.Name]:
			return invalidCatalog("queue %q has no name of its own", q.Name)
		case !pools[q.Pool]:
			return invalidCatalog("queue %q names pool %q, which does not exist", q.Name, q.Pool)
		case taken:
			return invalidCatalog("queues %q and %q share host %s and prefix %s", other, q.Name, q.Host, q.PathPrefix)
		case q.TimeoutMs == 0:
			return invalidCatalog("queue %q has no timeout", q.Name)
		}
		names[q.Name], routes[at] = true, q.Name
	}
	return nil
}

func checkAccounts(accounts []*apiv1.BatchAccount) error {
	names, keys := map[string]bool{}, map[string]string{}
	for _, a := range accounts {
		if a.Name == "" || names[a.Name] {
			return invalidCatalog("client account %q has no name of its own", a.Name)
		}
		names[a.Name] = true
		for _, h := range a.KeyHashes {
			if other, taken := keys[string(h)]; taken && other != a.Name {
				return invalidCatalog("client accounts %q and %q share a key", other, a.Name)
			}
			keys[string(h)] = a.Name
		}
	}
	return nil
}
