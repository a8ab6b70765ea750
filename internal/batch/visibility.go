package batch

// VisibleTo reports whether calls of a client account may see and cancel the job;
// account is empty for a call without a key, which only open queues accept.
//
// An account reaches its own jobs through any queue. A call without a key reaches the
// jobs of any account in a queue that is open now, whether or not it was open when they
// were submitted: callers of an open queue send no key. A job submitted without a key
// belongs to no account and is visible to all, also once its queue requires a key.
func (s *State) VisibleTo(j *Job, account string) bool {
	return j.submittedBy(account) || account == "" && s.catalog.isOpenTo(j)
}

// submittedBy reports whether the account submitted the job, or nobody's account did.
func (j *Job) submittedBy(account string) bool { return j.Account == "" || j.Account == account }

// isOpenTo reports whether the queue of a job is open.
func (c *catalog) isOpenTo(j *Job) bool { return c.queueOf(j).GetOpen() }
