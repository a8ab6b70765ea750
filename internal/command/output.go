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

// printMessage writes a message to stdout as JSON with --output json, and calls
// printText otherwise.
func (a *app) printMessage(m proto.Message, printText func()) {
	if a.cli.Output == "json" {
		a.printJSON(a.stdout, m)
		return
	}
	printText()
}

// printJSON writes a message as indented JSON with all fields. It does not use
// protojson's indentation, because protojson varies its white space between
// builds on purpose.
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

// printf writes one line of the result to stdout.
func (a *app) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(a.stdout, format+"\n", args...)
}

// eprintf writes one line to stderr, so that scripts can separate notes from the
// result.
func (a *app) eprintf(format string, args ...any) {
	_, _ = fmt.Fprintf(a.stderr, format+"\n", args...)
}

// printTable writes a table with one row for each message. The columns are the
// named fields, or all scalar fields if no column is named. An empty list gives
// the line "none".
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
	var headers []string
	for _, fd := range fields {
		headers = append(headers, strings.ToUpper(columnName(fd)))
	}
	_, _ = fmt.Fprintln(tw, strings.Join(headers, "\t"))
	for _, m := range list {
		var cells []string
		for _, fd := range fields {
			cells = append(cells, formatField(fd, m.ProtoReflect().Get(fd)))
		}
		_, _ = fmt.Fprintln(tw, strings.Join(cells, "\t"))
	}
	_ = tw.Flush()
}

// columnFields returns the named fields of a message, or all its scalar fields
// except bytes if no column is named.
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

// columnName returns the field's name without the suffix of its unit, which
// formatField converts.
func columnName(fd protoreflect.FieldDescriptor) string {
	return strings.TrimSuffix(strings.TrimSuffix(string(fd.Name()), "_unix_ms"), "_permille")
}

// formatField returns the text of a field's value: times in UTC, per mille as a
// percentage, and "-" for an empty string.
func formatField(fd protoreflect.FieldDescriptor, v protoreflect.Value) string {
	switch {
	case strings.HasSuffix(string(fd.Name()), "_unix_ms"):
		return formatTime(v.Int())
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

// formatTime returns a Unix time in milliseconds as RFC 3339 in UTC, or "-" for
// zero.
func formatTime(unixMS int64) string {
	if unixMS == 0 {
		return "-"
	}
	return time.UnixMilli(unixMS).UTC().Format(time.RFC3339)
}

// printProblems writes two lines for each problem: level, location and message,
// and then the fix.
func (a *app) printProblems(list []*apiv1.ConfigProblem) {
	for _, p := range list {
		level := "error"
		if p.Warning {
			level = "warning"
		}
		var location []string
		for _, part := range []string{p.File, bracketed(p.Section), p.Key} {
			if part != "" {
				location = append(location, part)
			}
		}
		a.printf("%s: %s: %s", level, strings.Join(location, " "), p.Message)
		a.printf("    fix: %s", p.Fix)
	}
}

// bracketed returns a section as it is written in an INI file, or "" for no
// section.
func bracketed(section string) string {
	if section == "" {
		return ""
	}
	return "[" + section + "]"
}

// countOf returns a count with its noun, for example "1 error" or "2 errors".
func countOf(n int, word string) string {
	if n == 1 {
		return "1 " + word
	}
	return strconv.Itoa(n) + " " + word + "s"
}
