package inicfg_test

import (
	"strings"
	"testing"

	"chivepost/share/inicfg"
)

// FuzzParse guards against a panic on a settings file, and against a problem that lacks the
// file, the value found or what is accepted.
func FuzzParse(f *testing.F) {
	f.Add("[host]\nname = a\n")
	f.Fuzz(func(t *testing.T, text string) {
		var s settings
		_, err := inicfg.Parse("f.ini", []byte(text), &s)
		if err == nil {
			if s.Host.Name == "" || s.Timing.Lease <= 0 || s.Limits.Count < 1 {
				t.Fatalf("accepted %q as %+v", text, s)
			}
			return
		}
		for line := range strings.SplitSeq(err.Error(), "\n") {
			if !strings.HasPrefix(line, "f.ini:") || !strings.Contains(line, "found ") || !strings.Contains(line, "want ") {
				t.Fatalf("problem %q of %q", line, text)
			}
		}
	})
}

// FuzzScan guards against the scanner and the ini library parsing a line differently: a
// line without quotes and comments must keep its value.
func FuzzScan(f *testing.F) {
	f.Add("a", "1")
	f.Fuzz(func(t *testing.T, key, value string) {
		file, problems := inicfg.Scan("f.ini", []byte("[s]\n"+key+" = "+value+"\n"))
		if len(problems) > 0 || len(file.Sections) != 1 || len(file.Sections[0].Entries) != 1 || strings.ContainsAny(value, "\"'`#;\r\n") || strings.ContainsAny(key, "=#;\r\n") {
			return
		}
		e := file.Sections[0].Entries[0]
		if e.Line != 2 || e.Key != strings.TrimSpace(key) || e.Value != strings.TrimSpace(value) {
			t.Fatalf("read %q = %q as %+v", key, value, e)
		}
	})
}
