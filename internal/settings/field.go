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

// unit is a suffix of a value and the factor that converts the value to the unit
// in which the field is stored.
type unit struct {
	suffix string
	factor uint64
}

var (
	// durationUnits convert to milliseconds and byteUnits to bytes. Both are ordered
	// from the largest unit, since formatNumber uses the first one that divides a
	// number.
	durationUnits = []unit{{"h", 3_600_000}, {"m", 60_000}, {"s", 1000}, {"ms", 1}}
	byteUnits     = []unit{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}
)

// logLevels are the values that a log_level key may have.
var logLevels = []string{"debug", "info", "warn", "error"}

// ruleCache holds the rule of each field by the field's full name. Without it,
// finding the extension takes a sixth of the time of checking an object set.
var ruleCache sync.Map

// RuleOf returns the rule option of a field, which is empty when the field has
// none.
func RuleOf(fd protoreflect.FieldDescriptor) *apiv1.FieldRule {
	if rule, ok := ruleCache.Load(fd.FullName()); ok {
		return rule.(*apiv1.FieldRule)
	}
	rule := &apiv1.FieldRule{}
	if opts, ok := fd.Options().(*descriptorpb.FieldOptions); ok && proto.HasExtension(opts, apiv1.E_Rule) {
		rule = proto.GetExtension(opts, apiv1.E_Rule).(*apiv1.FieldRule)
	}
	ruleCache.Store(fd.FullName(), rule)
	return rule
}

// KeyOf returns the INI key of a field: its name without the suffix _ms or _bytes,
// since values in INI state their unit.
func KeyOf(fd protoreflect.FieldDescriptor) string {
	key, _ := keyAndUnits(fd)
	return key
}

// keyAndUnits returns a field's INI key and the units of its values, nil when they
// have none.
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

// issue is a problem with one value, without the file, section and key.
type issue struct {
	kind         Kind
	message, fix string
}

// parseValue parses one value, or one part of a list, in INI notation. It checks no
// rules except the range of numbers that the field can hold.
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
	return protoreflect.Value{}, &issue{WrongValue, "the value is not one of the known words", "write one of: " + strings.Join(enumNames(ed), ", ")}
}

// enumShortName returns the INI name of an enum value: "out" for ZONE_STATE_OUT of
// ZoneState.
func enumShortName(ed protoreflect.EnumDescriptor, v protoreflect.EnumValueDescriptor) string {
	prefix := strings.TrimSuffix(string(ed.Values().Get(0).Name()), "UNSPECIFIED")
	return strings.ToLower(strings.TrimPrefix(string(v.Name()), prefix))
}

// enumNames returns the INI names of all values of an enum except the unspecified
// one.
func enumNames(ed protoreflect.EnumDescriptor) []string {
	var words []string
	for i := 1; i < ed.Values().Len(); i++ {
		words = append(words, enumShortName(ed, ed.Values().Get(i)))
	}
	return words
}

// parseNumber parses an unsigned whole number, with a unit if the field has one,
// and converts it to the field's unit. It reports a number that overflows the
// field as out of range.
func parseNumber(fd protoreflect.FieldDescriptor, text string) (protoreflect.Value, *issue) {
	_, units := keyAndUnits(fd)
	if strings.HasSuffix(string(fd.Name()), "_per_second") {
		text = truncateFraction(text)
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

// truncateFraction cuts a decimal fraction off a number: rates per second are
// often given as fractions, but their fields hold whole numbers. It returns any
// other text unchanged.
func truncateFraction(text string) string {
	whole, fraction, found := strings.Cut(text, ".")
	if !found || fraction == "" || strings.Trim(fraction, "0123456789") != "" {
		return text
	}
	return whole
}

// splitUnit splits a text into the number and the factor of its unit. The unit is
// all letters at the end, so that "5ms" isn't read as "5m" with an "s". Ok is
// false when they are not one of the units.
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

// unitIssue returns the issue of a text that is not a number with one of the
// units.
func unitIssue(units []unit) *issue {
	switch {
	case units == nil:
		return &issue{WrongValue, "the value is not a whole number", "write digits only, for example 8"}
	case units[0].suffix == "h":
		return &issue{WrongValue, "the value is not a duration with a unit", "write a whole number and one of ms, s, m, h, for example 500ms"}
	}
	return &issue{WrongValue, "the value is not a size with a unit", "write a whole number and one of B, KiB, MiB, GiB, for example 64MiB"}
}

// rangeIssue returns the issue of a number outside the field's range.
func rangeIssue(fd protoreflect.FieldDescriptor) *issue {
	lowest, highest := numberRange(fd)
	return &issue{
		OutOfRange, "the value is out of range",
		fmt.Sprintf("write a value from %s to %s", formatNumber(fd, lowest), formatNumber(fd, highest)),
	}
}

// numberRange returns the smallest and largest value that a field may have, in the
// field's unit: those of its rule, or else of its type.
func numberRange(fd protoreflect.FieldDescriptor) (lowest, highest uint64) {
	rule := RuleOf(fd)
	if rule.Max != 0 {
		return uint64(rule.Min), uint64(rule.Max)
	}
	if fd.Kind() == protoreflect.Uint32Kind {
		return 0, 1<<32 - 1
	}
	return 0, 1<<64 - 1
}

// formatNumber formats a number in INI notation, with the largest unit that
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

// FormatValue formats one value in INI notation. The text of a valid value parses
// to the same value.
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

// checkValue checks one value, or one part of a list, against the field's rule and
// name.
func checkValue(fd protoreflect.FieldDescriptor, v protoreflect.Value) *issue {
	switch fd.Kind() {
	case protoreflect.StringKind:
		return checkText(fd, v.String())
	case protoreflect.EnumKind:
		if v.Enum() == 0 || fd.Enum().Values().ByNumber(v.Enum()) == nil {
			return &issue{WrongValue, "the value is not one of the known words", "write one of: " + strings.Join(enumNames(fd.Enum()), ", ")}
		}
	case protoreflect.Uint32Kind, protoreflect.Uint64Kind:
		if lowest, highest := numberRange(fd); v.Uint() < lowest || v.Uint() > highest {
			return rangeIssue(fd)
		}
	}
	return nil
}

// checkText checks a string. It allows printable ASCII except the characters that
// INI would not read back unchanged. Fields whose names end in _address or _url,
// and log_level, have formats of their own.
func checkText(fd protoreflect.FieldDescriptor, text string) *issue {
	isForbidden := func(r rune) bool { return r < ' ' || r > '~' || strings.ContainsRune("\"'`\\,;#%", r) }
	if text != strings.TrimSpace(text) || strings.ContainsFunc(text, isForbidden) {
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
