package objects

import (
	"fmt"
	"regexp"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/settings"
)

// namePattern leaves out the dot, which separates key id and secret in a
// credential, and everything that INI would need to quote.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$`)

// Check validates a whole set: the rules of each field, names, references and
// contradictions between objects. Problems are sorted and do not depend on the
// order of the objects. A set may be published when all problems are warnings.
func Check(set *apiv1.ObjectSet) []Problem {
	set = cloneSet(set)
	SortSet(set)
	c := &checker{ix: NewIndex(set), objects: each(set), used: map[ref]bool{}}
	c.fields()
	c.names()
	c.references()
	c.pools()
	c.budgets()
	c.services()
	c.queues()
	c.policies()
	c.maintenances()
	c.keys()
	c.zones()
	c.unused()
	return settings.Sort(c.problems)
}

type checker struct {
	ix       *Index
	objects  []object
	used     map[ref]bool // objects that another object names
	problems []Problem
}

func (c *checker) report(kind settings.Kind, title, key, fix, format string, args ...any) {
	c.problems = append(c.problems, Problem{
		Kind: kind, Section: title, Key: key, Message: fmt.Sprintf(format, args...), Fix: fix,
	})
}

func (c *checker) contradiction(title, key, fix, format string, args ...any) {
	c.report(settings.Contradiction, title, key, fix, format, args...)
}

func (c *checker) warn(kind settings.Kind, title, key, fix, format string, args ...any) {
	c.report(kind, title, key, fix, format, args...)
	c.problems[len(c.problems)-1].Warning = true
}

func (c *checker) fields() {
	for _, o := range c.objects {
		for _, p := range settings.Validate(o.msg, o.place()) {
			if p.Key != nameField { // names reports it in words of its own
				c.problems = append(c.problems, p)
			}
		}
	}
}

func (c *checker) names() {
	count := map[ref]int{}
	for _, o := range c.objects {
		count[o.ref]++
		if !namePattern.MatchString(o.name) {
			c.report(settings.WrongValue, o.title(), "", "use 1 to 63 letters, digits, - and _, a letter or digit first",
				"the name of the object is not allowed")
		}
	}
	for r, n := range count {
		if n > 1 {
			c.report(settings.DuplicateName, r.title(), "", "keep one of the objects, or rename one",
				"the object is defined %d times", n)
		}
	}
}

// references holds every field with a ref rule against the objects of that
// kind, and marks those objects as used.
func (c *checker) references() {
	exists := map[ref]bool{}
	for _, o := range c.objects {
		exists[o.ref] = true
	}
	for _, o := range c.objects {
		m := o.msg.ProtoReflect()
		fields := m.Descriptor().Fields()
		for i := range fields.Len() {
			fd := fields.Get(i)
			if kind := settings.RuleOf(fd).Ref; kind != "" {
				c.reference(o, fd, kind, exists)
			}
		}
	}
}

func (c *checker) reference(o object, fd protoreflect.FieldDescriptor, kind string, exists map[ref]bool) {
	seen := map[string]bool{}
	for _, name := range textValues(o.msg.ProtoReflect(), fd) {
		target := ref{kind, name}
		switch {
		case name == "":
		case seen[name]:
			c.contradiction(o.title(), settings.KeyOf(fd), "name it once", "%s is named twice", target.title())
		case !exists[target]:
			c.report(settings.BrokenReference, o.title(), settings.KeyOf(fd),
				fmt.Sprintf("correct the name, or add a section [%s]", target.title()), "there is no %s", target.title())
		default:
			c.used[target] = true
		}
		seen[name] = true
	}
}

// textValues returns the values of a string field, or of a list of strings.
func textValues(m protoreflect.Message, fd protoreflect.FieldDescriptor) []string {
	if !fd.IsList() {
		return []string{m.Get(fd).String()}
	}
	var out []string
	list := m.Get(fd).List()
	for i := range list.Len() {
		out = append(out, list.Get(i).String())
	}
	return out
}

// unused warns of objects that nothing names, of services without a queue and
// of client accounts without a key.
func (c *checker) unused() {
	const fix = "remove it, or name it where it is meant to apply"
	for _, o := range c.objects {
		if c.used[o.ref] {
			continue
		}
		switch o.kind {
		case "availability_budget", "capacity_policy", "limit", "team":
			c.warn(settings.Unused, o.title(), "", fix, "no other object names this one")
		case "client_account":
			c.warn(settings.Unused, o.title(), "", "issue a key with bergamotctl key issue, or remove the account",
				"the client account has no key")
		case "service":
			c.warn(settings.Unused, o.title(), "", "add a queue that names the service", "no queue leads to the service")
		case "pool":
			c.unusedPool(o)
		}
	}
}

func (c *checker) unusedPool(o object) {
	if p, ok := o.msg.(*apiv1.Pool); ok && !p.Spare {
		c.warn(settings.Unused, o.title(), "", "add a service or a queue that names the pool, or make it the spare pool",
			"no service and no queue uses the pool")
	}
}

// UnusedZones warns of zones in which there is neither a VM nor an entry. Used
// lists the zones that have one.
func UnusedZones(set *apiv1.ObjectSet, used []string) []Problem {
	var c checker
	for _, z := range set.GetAvailabilityZone() {
		found := false
		for _, u := range used {
			found = found || u == z.Name
		}
		if !found {
			c.warn(settings.Unused, Title("availability_zone", z.Name), "",
				"compare the name with availability_zone in the settings and announcements, or remove the zone",
				"no VM and no entry is in the zone")
		}
	}
	return settings.Sort(c.problems)
}

func joinTitles(kind string, names []string) string {
	titles := make([]string, 0, len(names))
	for _, n := range names {
		titles = append(titles, Title(kind, n))
	}
	return strings.Join(titles, ", ")
}
