package settings

import (
	"testing"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// Guards against a file that makes the reader panic, and against one that is
// accepted with a value that breaks the rules of its field.
func FuzzLoad(f *testing.F) {
	f.Add([]byte(validClient))
	f.Add([]byte("[client]\noperator_name = \"a\"\n[client]\n[client\nx\n= 1\n"))
	f.Add([]byte("[DEFAULT]\na=1\n[client] ]\nk = \"\"\"v\n"))
	f.Add([]byte("\xef\xbb\xbf[client]\r\ntimeout = 5m\\\r\n- = 1\n- = 2\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var got, again apiv1.ClientSettings
		problems := LoadBytes("f.ini", data, "client", &got)
		repeat := LoadBytes("f.ini", data, "client", &again)
		if !proto.Equal(&got, &again) || len(problems) != len(repeat) {
			t.Fatalf("two reads differ: %v, %v", problems, repeat)
		}
		if len(problems) == 0 && len(Validate(&got, Section{})) > 0 {
			t.Fatalf("accepted, but not valid: %v", Validate(&got, Section{}))
		}
	})
}
