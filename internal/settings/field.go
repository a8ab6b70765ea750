package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// unit is a suffix of a value with its factor to the field's unit.
type unit struct {
	suffix string
	factor uint64
}

var (
	// durationUnits convert to milliseconds, largest first for writing.
	durationUnits = []unit{{"h", 3_600_000}, {"m", 60_000}, {"s", 1000}, {"ms", 1}}
	byteUnits     = []unit{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}
)

// logLevels are the levels that processes accept.
var logLevels = []string{"debug", "info", "warn", "error"}

// rules caches the rule of each field by full name: finding an extension takes
// a sixth of the time of checking an object set.
var rules sync.Map

// RuleOf returns the rule option of a field; an empty rule when it has none.
func RuleOf(fd protoreflect.FieldDescriptor) *apiv1.FieldRule {
	if rule, ok := rules.Load(fd.FullName()); ok {
		return rule.(*apiv1.FieldRule)
	}
	rule := &apiv1.FieldRule{}
	if opts, ok := fd.Options().(*descriptorpb.FieldOptions); ok && proto.HasExtension(opts, apiv1.E_Rule) {
		rule = proto.GetExtension(opts, apiv1.E_Rule).(*apiv1.FieldRule)
	}
	rules.Store(fd.FullName(), rule)
	return rule
}

// KeyOf returns the INI key of a field: its name without the unit suffix.
func KeyOf(fd protoreflect.FieldDescriptor) string {
	key, _ := keyAndUnits(fd)
	return key
}

func keyAndUnits(fd protoreflect.FieldDescriptor) (string, []unit) {
	name := string(fd.Name())
	if key, ok := strings.CutSuffix(name, "_ms"); ok {
		return key, durationUnits
	}
	if key, ok := strings.CutSuffix(name, "_bytes"); ok {
		return key, byteUnits
	}
	return name, nil
}

// issue is a problem with one value, before its place is known.
type issue struct {
	kind         Kind
	message, fix string
}

// parseValue reads one scalar from INI notation.
func parseValue(fd protoreflect.FieldDescriptor, text string) (protoreflect.Value, *issue) {
	switch fd.Kind() {
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(text), nil
	case protoreflect.BoolKind:
		return parseBool(text)
	case protoreflect.EnumKind:
		return parseEnum(fd.Enum(), text)
	case protoreflect.Uint32Kind, protoreflect.Uint64Kind:
		return parseNumber(fd, text)
	}
	return protoreflect.Value{}, &issue{WrongValue, fmt.Sprintf("a %s field cannot be set from INI", fd.Kind()), "remove the key"}
}

func parseBool(text string) (protoreflect.Value, *issue) {
	if text != "true" && text != "false" {
		return protoreflect.Value{}, &issue{WrongValue, "the value is not a boolean", "write true or false"}
	}
	return protoreflect.ValueOfBool(text == "true"), nil
}

func parseEnum(ed protoreflect.EnumDescriptor, text string) (protoreflect.Value, *issue) {
	for i := range ed.Values().Len() {
		v := ed.Values().Get(i)
		if v.Number() != 0 && enumShortName(ed, v) == text {
			return protoreflect.ValueOfEnum(v.Number()), nil
		}
	}
	return protoreflect.Value{}, &issue{WrongValue, "the value is not one of the known words", "write one of: " + strings.Join(enumWords(ed), ", ")}
}

// enumShortName turns ZONE_STATE_OUT of ZoneState into "out".
func enumShortName(ed protoreflect.EnumDescriptor, v protoreflect.EnumValueDescriptor) string {
	prefix := strings.TrimSuffix(string(ed.Values().Get(0).Name()), "UNSPECIFIED")
	return strings.ToLower(strings.TrimPrefix(string(v.Name()), prefix))
}

func enumWords(ed protoreflect.EnumDescriptor) []string {
	var words []string
	for i := 1; i < ed.Values().Len(); i++ {
		words = append(words, enumShortName(ed, ed.Values().Get(i)))
	}
	return words
}

func parseNumber(fd protoreflect.FieldDescriptor, text string) (protoreflect.Value, *issue) {
	_, units := keyAndUnits(fd)
	if strings.HasSuffix(string(fd.Name()), "_per_second") {
		text = wholePart(text)
	}
	digits, factor, ok := splitUnit(text, units)
	if !ok {
		return protoreflect.Value{}, unitIssue(units)
	}
	n, err := strconv.ParseUint(digits, 10, 64)
	if err != nil && digits != "" && strings.Trim(digits, "0123456789") == "" {
		return protoreflect.Value{}, rangeIssue(fd)
	}
	if err != nil {
		return protoreflect.Value{}, unitIssue(units)
	}
	product := n * factor
	if product/factor != n || fd.Kind() == protoreflect.Uint32Kind && product>>32 != 0 {
		return protoreflect.Value{}, rangeIssue(fd)
	}
	if fd.Kind() == protoreflect.Uint32Kind {
		return protoreflect.ValueOfUint32(uint32(product)), nil
	}
	return protoreflect.ValueOfUint64(product), nil
}

// wholePart rounds a decimal fraction down, as rates often are one; any other
// text stays as it is.
func wholePart(text string) string {
	whole, fraction, found := strings.Cut(text, ".")
	if !found || fraction == "" || strings.Trim(fraction, "0123456789") != "" {
		return text
	}
	return whole
}

// splitUnit cuts the unit off; the longest suffix that fits wins, so "5ms" is
// not read as "5m" + "s".
func splitUnit(text string, units []unit) (digits string, factor uint64, ok bool) {
	if units == nil {
		return text, 1, true
	}
	digits = strings.TrimRight(text, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")
	for _, u := range units {
		if text[len(digits):] == u.suffix {
			return digits, u.factor, true
		}
	}
	return "", 0, false
}

func unitIssue(units []unit) *issue {
	switch {
	case units == nil:
		return &issue{WrongValue, "the value is not a whole number", "write digits only, for example 8"}
	case units[0].suffix == "h":
		return &issue{WrongValue, "the value is not a duration with a unit", "write a whole number and one of ms, s, m, h, for example 500ms"}
	}
	return &issue{WrongValue, "the value is not a size with a unit", "write a whole number and one of B, KiB, MiB, GiB, for example 64MiB"}
}

func rangeIssue(fd protoreflect.FieldDescriptor) *issue {
	lowest, highest := bounds(fd)
	return &issue{
		OutOfRange, "the value is out of range",
		fmt.Sprintf("write a value from %s to %s", formatNumber(fd, lowest), formatNumber(fd, highest)),
	}
}

// bounds returns the inclusive bounds of a number in the field's unit.
func bounds(fd protoreflect.FieldDescriptor) (lowest, highest uint64) {
	rule := RuleOf(fd)
	if rule.Max != 0 {
		return uint64(rule.Min), uint64(rule.Max)
	}
	if fd.Kind() == protoreflect.Uint32Kind {
		return 0, 1<<32 - 1
	}
	return 0, 1<<64 - 1
}

// formatNumber writes a number in INI notation with the largest unit that
// divides it.
func formatNumber(fd protoreflect.FieldDescriptor, n uint64) string {
	_, units := keyAndUnits(fd)
	for _, u := range units {
		if n%u.factor == 0 && (n != 0 || u.factor == 1) {
			return strconv.FormatUint(n/u.factor, 10) + u.suffix
		}
	}
	return strconv.FormatUint(n, 10)
}

// FormatValue writes one scalar in INI notation.
func FormatValue(fd protoreflect.FieldDescriptor, v protoreflect.Value) string {
	switch fd.Kind() {
	case protoreflect.BoolKind:
		return strconv.FormatBool(v.Bool())
	case protoreflect.EnumKind:
		ev := fd.Enum().Values().ByNumber(v.Enum())
		if ev == nil {
			return strconv.Itoa(int(v.Enum()))
		}
		return enumShortName(fd.Enum(), ev)
	case protoreflect.Uint32Kind, protoreflect.Uint64Kind:
		return formatNumber(fd, v.Uint())
	}
	return v.String()
}

// checkValue holds one value that is set against the field's rule.
func checkValue(fd protoreflect.FieldDescriptor, v protoreflect.Value) *issue {
	switch fd.Kind() {
	case protoreflect.StringKind:
		return checkText(fd, v.String())
	case protoreflect.EnumKind:
		if v.Enum() == 0 || fd.Enum().Values().ByNumber(v.Enum()) == nil {
			return &issue{WrongValue, "the value is not one of the known words", "write one of: " + strings.Join(enumWords(fd.Enum()), ", ")}
		}
	case protoreflect.Uint32Kind, protoreflect.Uint64Kind:
		if lowest, highest := bounds(fd); v.Uint() < lowest || v.Uint() > highest {
			return rangeIssue(fd)
		}
	}
	return nil
}

// checkText allows printable ASCII that INI reads back unchanged.
func checkText(fd protoreflect.FieldDescriptor, text string) *issue {
	bad := func(r rune) bool { return r < ' ' || r > '~' || strings.ContainsRune("\"'`\\,;#%", r) }
	if text != strings.TrimSpace(text) || strings.ContainsFunc(text, bad) {
		return &issue{WrongValue, "the value holds a character that is not allowed", "use printable ASCII without quotes, backslash, comma, ; # % and without outer spaces"}
	}
	switch name := string(fd.Name()); {
	case strings.HasSuffix(name, "_address") || strings.HasSuffix(name, "_addresses"):
		if _, err := netip.ParseAddrPort(text); err != nil {
			return &issue{WrongValue, "the value is not an IP address with a port", "write ip:port, for example 10.0.0.7:7000"}
		}
	case strings.HasSuffix(name, "_url"):
		if u, err := url.Parse(text); err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return &issue{WrongValue, "the value is not a URL", "write http://host:port or https://host:port"}
		}
	case name == "log_level" && !slices.Contains(logLevels, text):
		return &issue{WrongValue, "the value is not a log level", "write one of: " + strings.Join(logLevels, ", ")}
	}
	return nil
}
