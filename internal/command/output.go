package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/settings"
)

// print writes a message as JSON, or calls table.
func (a *app) print(m proto.Message, table func()) {
	if a.cli.Output == "json" {
		a.printJSON(a.stdout, m)
		return
	}
	table()
}

// printJSON indents on its own, because protojson varies its white space from
// build to build on purpose.
func (a *app) printJSON(w io.Writer, m proto.Message) {
	data, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		_, _ = fmt.Fprintf(a.stderr, "bergamotctl: the answer cannot be shown: %v\n", err)
		return
	}
	var b bytes.Buffer
	if json.Indent(&b, data, "", "  ") == nil {
		_, _ = fmt.Fprintf(w, "%s\n", b.Bytes())
	}
}

func (a *app) say(format string, args ...any) {
	_, _ = fmt.Fprintf(a.stdout, format+"\n", args...)
}

// note writes to the error output, which scripts keep apart from the result.
func (a *app) note(format string, args ...any) {
	_, _ = fmt.Fprintf(a.stderr, format+"\n", args...)
}

// printTable writes one row a message, with the named fields as columns; all
// scalar fields when none is named.
func printTable[T proto.Message](w io.Writer, title string, list []T, columns ...string) {
	if title != "" {
		_, _ = fmt.Fprintf(w, "%s\n", strings.ToUpper(title))
	}
	if len(list) == 0 {
		_, _ = fmt.Fprintln(w, "none")
		return
	}
	fields := columnFields(list[0].ProtoReflect().Descriptor(), columns)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	var heads []string
	for _, fd := range fields {
		heads = append(heads, strings.ToUpper(columnName(fd)))
	}
	_, _ = fmt.Fprintln(tw, strings.Join(heads, "\t"))
	for _, m := range list {
		var cells []string
		for _, fd := range fields {
			cells = append(cells, cell(fd, m.ProtoReflect().Get(fd)))
		}
		_, _ = fmt.Fprintln(tw, strings.Join(cells, "\t"))
	}
	_ = tw.Flush()
}

func columnFields(md protoreflect.MessageDescriptor, columns []string) []protoreflect.FieldDescriptor {
	var out []protoreflect.FieldDescriptor
	for _, c := range columns {
		out = append(out, md.Fields().ByName(protoreflect.Name(c)))
	}
	if len(columns) > 0 {
		return out
	}
	for i := range md.Fields().Len() {
		fd := md.Fields().Get(i)
		if !fd.IsList() && fd.Kind() != protoreflect.MessageKind && fd.Kind() != protoreflect.BytesKind {
			out = append(out, fd)
		}
	}
	return out
}

func columnName(fd protoreflect.FieldDescriptor) string {
	return strings.TrimSuffix(strings.TrimSuffix(string(fd.Name()), "_unix_ms"), "_permille")
}

func cell(fd protoreflect.FieldDescriptor, v protoreflect.Value) string {
	switch {
	case strings.HasSuffix(string(fd.Name()), "_unix_ms"):
		return timeText(v.Int())
	case strings.HasSuffix(string(fd.Name()), "_permille"):
		return fmt.Sprintf("%d.%d%%", v.Uint()/10, v.Uint()%10)
	case fd.Kind() == protoreflect.BoolKind:
		return yesNo(v.Bool())
	case fd.Kind() == protoreflect.StringKind && v.String() == "":
		return "-"
	}
	return settings.FormatValue(fd, v)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func timeText(unixMS int64) string {
	if unixMS == 0 {
		return "-"
	}
	return time.UnixMilli(unixMS).UTC().Format(time.RFC3339)
}

// printProblems writes each problem with its fix on a line of its own.
func (a *app) printProblems(list []*apiv1.ConfigProblem) {
	for _, p := range list {
		level := "error"
		if p.Warning {
			level = "warning"
		}
		var place []string
		for _, part := range []string{p.File, bracketed(p.Section), p.Key} {
			if part != "" {
				place = append(place, part)
			}
		}
		a.say("%s: %s: %s", level, strings.Join(place, " "), p.Message)
		a.say("    fix: %s", p.Fix)
	}
}

func bracketed(section string) string {
	if section == "" {
		return ""
	}
	return "[" + section + "]"
}

// count is "1 error" or "2 errors".
func count(n int, word string) string {
	if n == 1 {
		return "1 " + word
	}
	return strconv.Itoa(n) + " " + word + "s"
}
