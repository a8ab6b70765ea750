// Package reference generates the reference page of settings and objects from the
// schema. The tests of the docs folder compare the page with the generated text and
// can update it.
package reference

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/settings"
)

const header = `# Reference of settings and objects

Generated from the schema (` + "`api/v1`" + `) by ` + "`go test ./docs -update`" + `. Don't edit it.

## Notation

- A duration is a whole number with one of ` + "`ms`, `s`, `m`, `h`" + `; a size is one with ` + "`B`, `KiB`, `MiB`, `GiB`" + `. A number without a unit is refused for both.
- The parts of a list are separated by commas.
- A comment stands on its own line or after a space, behind ` + "`#` or `;`" + `.
- Texts are printable ASCII without quotes, backslash, comma, ` + "`;`, `#` and `%`" + `. Addresses are ` + "`ip:port`" + `.
- A key that stands twice, has no value or is not listed here is refused.

`

const objectsHeader = `## Objects

Each object is one section, ` + "`[kind \"name\"]`" + `, in any ` + "`.ini`" + ` file of the folder. A name has 1 to 63 letters, digits, ` + "`-` and `_`" + `, and starts with a letter or digit.

`

// Page returns the reference page in Markdown.
func Page() string {
	var b strings.Builder
	b.WriteString(header + "## Settings\n\n")
	for _, s := range []struct {
		program, section string
		message          proto.Message
	}{
		{"bergamot-entry", "entry", &apiv1.EntrySettings{}},
		{"bergamot-control", "control", &apiv1.ControlSettings{}},
		{"bergamotctl", "client", &apiv1.ClientSettings{}},
		{"bergamot-platform core", "batch-control", &apiv1.BatchControlSettings{}},
		{"bergamot-platform front", "batch-front", &apiv1.BatchFrontSettings{}},
	} {
		fmt.Fprintf(&b, "Settings file of `%s`:\n\n", s.program)
		b.WriteString(settings.ReferenceSection(s.section, s.message, ""))
	}
	b.WriteString(objectsHeader)
	fields := (&apiv1.ObjectSet{}).ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		fd := fields.Get(i)
		message := (&apiv1.ObjectSet{}).ProtoReflect().NewField(fd).List().NewElement().Message().Interface()
		b.WriteString(settings.ReferenceSection(fmt.Sprintf("%s \"name\"", fd.Name()), message, "name"))
	}
	writeJobLimits(&b)
	return strings.TrimRight(b.String(), "\n") + "\n"
}

// writeJobLimits writes the limits on one batch job.
func writeJobLimits(b *strings.Builder) {
	b.WriteString("## Limits on a batch job\n\nA job beyond a limit is refused with TOO_LARGE; the message names the field, the limit and what to do.\n\n")
	b.WriteString("| field | limit | meaning |\n|---|---|---|\n")
	for _, l := range batch.JobLimits() {
		fmt.Fprintf(b, "| `%s` | %d | %s |\n", l.Field, l.Limit, l.Doc)
	}
}
