package objects

import (
	"fmt"
	"regexp"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/settings"
)

// namePattern excludes the dot, which separates key id and secret in a
// credential, and all characters that would need quoting in INI.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$`)

// Check validates a whole set: the schema's rules for each field, the names,
// the references, and contradictions between objects. The problems are sorted
// and do not depend on the order of the objects. A set may be published when
// all its problems are warnings. Check does not modify the set.
func Check(set *apiv1.ObjectSet) []Problem {
	set = cloneSet(set)
	SortSet(set)
	c := &checker{index: NewIndex(set), objects: allObjects(set), referenced: map[ref]bool{}}
	c.checkFields()
	c.checkNames()
	c.checkReferences()
	c.checkPools()
	c.checkBudgets()
	c.checkServices()
	c.checkQueues()
	c.checkPolicies()
	c.checkMaintenances()
	c.checkKeys()
	c.checkZones()
	c.checkUnused()
	return settings.Sort(c.problems)
}

// checker collects the problems of one set.
type checker struct {
	index      *Index
	objects    []object
	referenced map[ref]bool // objects that another object refers to
	problems   []Problem
}

// report adds an error. fix tells the operator what to do about it.
func (c *checker) report(kind settings.Kind, title, key, fix, format string, args ...any) {
	c.problems = append(c.problems, Problem{
		Kind: kind, Section: title, Key: key, Message: fmt.Sprintf(format, args...), Fix: fix,
	})
}

func (c *checker) contradiction(title, key, fix, format string, args ...any) {
	c.report(settings.Contradiction, title, key, fix, format, args...)
}

// warn adds a warning, which does not prevent a publish.
func (c *checker) warn(kind settings.Kind, title, key, fix, format string, args ...any) {
	c.report(kind, title, key, fix, format, args...)
	c.problems[len(c.problems)-1].Warning = true
}

// checkFields applies the schema's rules to each field of each object.
func (c *checker) checkFields() {
	for _, o := range c.objects {
		for _, p := range settings.Validate(o.msg, o.section()) {
			if p.Key != nameField { // checkNames reports names
				c.problems = append(c.problems, p)
			}
		}
	}
}

// checkNames reports names that are not allowed, and names that several objects
// of a kind have.
func (c *checker) checkNames() {
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

// checkReferences checks that each field with a ref rule names existing objects
// of the rule's kind, and records these objects as referenced.
func (c *checker) checkReferences() {
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
				c.checkReference(o, fd, kind, exists)
			}
		}
	}
}

// checkReference checks one field of o, whose values must be names of objects
// of the kind.
func (c *checker) checkReference(o object, fd protoreflect.FieldDescriptor, kind string, exists map[ref]bool) {
	seen := map[string]bool{}
	for _, name := range stringValues(o.msg.ProtoReflect(), fd) {
		target := ref{kind, name}
		switch {
		case name == "":
		case seen[name]:
			c.contradiction(o.title(), settings.KeyOf(fd), "name it once", "%s is named twice", target.title())
		case !exists[target]:
			c.report(settings.BrokenReference, o.title(), settings.KeyOf(fd),
				fmt.Sprintf("correct the name, or add a section [%s]", target.title()), "there is no %s", target.title())
		default:
			c.referenced[target] = true
		}
		seen[name] = true
	}
}

// stringValues returns the value of a string field, or the elements of a list
// of strings.
func stringValues(m protoreflect.Message, fd protoreflect.FieldDescriptor) []string {
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

// checkUnused warns about objects that no other object refers to, among them
// services without a queue and client accounts without a key.
func (c *checker) checkUnused() {
	const fix = "remove it, or name it where it is meant to apply"
	for _, o := range c.objects {
		if c.referenced[o.ref] {
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
			c.checkUnusedPool(o)
		}
	}
}

func (c *checker) checkUnusedPool(o object) {
	if p, ok := o.msg.(*apiv1.Pool); ok && !p.Spare {
		c.warn(settings.Unused, o.title(), "", "add a service or a queue that names the pool, or make it the spare pool",
			"no service and no queue uses the pool")
	}
}

// UnusedZones returns a warning for each availability zone of the set that is not
// in used, which lists the zones with a VM or an entry process (which passes
// callers' requests on). Operators' tools add these warnings to those of Check.
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

// joinTitles returns the section titles of objects of one kind, separated by
// commas.
func joinTitles(kind string, names []string) string {
	titles := make([]string, 0, len(names))
	for _, n := range names {
		titles = append(titles, Title(kind, n))
	}
	return strings.Join(titles, ", ")
}
