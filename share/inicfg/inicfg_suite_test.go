package inicfg_test

import (
	"strings"
	"testing"
	"time"

	"chivepost/share/golden"
	"chivepost/share/inicfg"
	"chivepost/share/units"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestInicfg(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "inicfg")
}

// settings has keys of each type and with most checks.
type settings struct {
	Host struct {
		Name    string `key:"name" check:"required,name" doc:"name in the host list"`
		Address string `key:"address" default:"127.0.0.1:7000" check:"address" doc:"where callers connect"`
		LogURL  string `key:"log_url" check:"url" doc:"log service"`
		Mode    string `key:"mode" default:"slack" check:"oneof=slack|round_robin" doc:"order of the queue"`
	} `section:"host" doc:"The host itself."`
	Peers struct {
		Key   string   `key:"key" check:"secret" doc:"key that peers share"`
		Seeds []string `key:"seeds" check:"addresses" doc:"first peers"`
	} `section:"peers"`
	Timing struct {
		Lease  time.Duration  `key:"lease" default:"2s" check:"min=100ms,max=1m" doc:"length of a lease"`
		Margin units.Duration `key:"margin" default:"250ms" check:"above=0s" doc:"margin, below the lease"`
	} `section:"timing"`
	Limits struct {
		Body  inicfg.Size `key:"body" default:"1MiB" check:"min=1KiB" doc:"longest body"`
		Count int         `key:"count" default:"8" check:"min=1" doc:"a count"`
		Share float64     `key:"share" default:"0.1" check:"above=0,below=1" doc:"a share"`
		Trace bool        `key:"trace" default:"false" doc:"whether to trace"`
	} `section:"limits"`
}

// Check requires the margin to be below the lease.
func (s *settings) Check(report func(section, key, want string)) {
	if s.Timing.Margin.Std() >= s.Timing.Lease {
		report("timing", "margin", "below lease = "+s.Timing.Lease.String())
	}
}

var _ = DescribeTable("reports all problems at once with their positions",
	// Guards against a problem that is missed, reported without its position, or hidden by
	// an earlier one.
	func(name, text string, overrides ...inicfg.Override) {
		_, err := inicfg.Parse("host.ini", []byte(text), &settings{}, overrides...)
		Expect(err).To(HaveOccurred())
		Expect(err.Error() + "\n").To(golden.Match("testdata/" + name + ".txt"))
	},
	Entry("values", "values", "[host]\nname = two words\naddress = localhost:1\nlog_url = 127.0.0.1\nmode = fast\n"+
		"[peers]\nseeds = 127.0.0.1:1, 127.0.0.1\n"+
		"[timing]\nlease = 2\nmargin = 0s\n[limits]\nbody = 1MB\ncount = 0\nshare = 1\ntrace = yes\n"),
	Entry("bounds of durations and sizes", "bounds", "[host]\nname = a\n[timing]\nlease = 2m\n[limits]\nbody = 9223372036854775807TiB\nshare = NaN\ncount = 99999999999999999999\n"),
	Entry("unknown names", "unknown", "[hots]\nname = a\n[host]\nname = a\naddrss = 127.0.0.1:1\n[timing]\nleese = 1s\n"),
	Entry("names twice", "twice", "[host]\nname = a\nname = b\n[timing]\n[host]\nname = c\n"),
	Entry("lines that are not INI", "lines", "name = a\n[host\nmode = fast\n[host] trailing\n[]\njust words\n= 3\n\"name\" = a\n- = x\n[host]\nname = \"\"\"a\nname = `a\naddress = a\x00b\nmode = \xff\n"),
	Entry("quotes that do not match", "quotes", "[host]\nname = \"a\nmode = \"slack\" x\nlog_url = \"http://h\" ; \"c\"\n[peers]\nkey = \"a\\\"\n"),
	Entry("a missing required key, and a secret not shown", "missing", "[peers]\nkey = hidden\n"),
	Entry("a flag", "flag", "[host]\nname = a\n", inicfg.Override{Section: "timing", Key: "lease", Value: "1", From: "--lease"}),
	Entry("a rule across keys", "across", "[host]\nname = a\n[timing]\n\nlease = 100ms\nmargin = 1s\n"),
	Entry("a rule across keys, violated by a default", "across_default", "[host]\nname = a\n[timing]\nlease = 100ms\n"),
)

var _ = It("reads values as written", func() {
	// Guards against values that are changed by comments, quotes or special characters.
	var s settings
	_, err := inicfg.Parse("host.ini", []byte("\uFEFF# first\r\n[ host ] ; comment\r\nname=a.b-c_1 # comment\r\nlog_url = http://h/?a=b#c;d\r\n"+
		"[peers]\nkey = \"  # ; = %(name)s \\ \\\" \" ; \"c\"\nseeds = 127.0.0.1:1 ,127.0.0.1:2\n[limits]\nbody = 64 MiB\nshare = 2.5e-1\ntrace = true\n"), &s)
	Expect(err).NotTo(HaveOccurred())
	Expect(s.Host.Name).To(Equal("a.b-c_1"))
	Expect(s.Host.LogURL).To(Equal("http://h/?a=b#c;d"))
	Expect(s.Peers.Key).To(Equal(`  # ; = %(name)s \ " `))
	Expect(s.Peers.Seeds).To(Equal([]string{"127.0.0.1:1", "127.0.0.1:2"}))
	Expect(s.Limits.Body).To(Equal(64 * inicfg.Size(1<<20)))
	Expect(s.Limits.Share).To(Equal(0.25))
	Expect(s.Limits.Trace).To(BeTrue())
	Expect(s.Timing.Lease).To(Equal(2 * time.Second))
})

var _ = It("returns the origin of each setting in force", func() {
	// Guards against a wrong precedence of flag, file and default, and a printed secret.
	var s settings
	loaded, err := inicfg.Parse("host.ini", []byte("[host]\nname = a\n[peers]\nkey = hidden\n[timing]\nlease = 3s\nmargin = 1s\n"), &s,
		inicfg.Override{Section: "timing", Key: "lease", Value: "4s", From: "--lease"})
	Expect(err).NotTo(HaveOccurred())
	var b strings.Builder
	for _, o := range loaded.Origins() {
		b.WriteString(o.Section + "." + o.Key + " = " + o.Value + " (" + o.From + ")\n")
	}
	Expect(b.String()).To(golden.Match("testdata/origins.txt"))
})

var _ = It("generates the reference from the table", func() {
	// Guards against a reference that omits a key or describes the wrong check.
	text, err := inicfg.Reference(&settings{})
	Expect(err).NotTo(HaveOccurred())
	Expect(text).To(golden.Match("testdata/reference.md"))
})

var _ = DescribeTable("rejects a faulty table",
	// Guards against a faulty tag that is detected only when an operator sets the key.
	func(dst any, want string) {
		_, err := inicfg.Table(dst)
		Expect(err).To(MatchError(ContainSubstring(want)))
	},
	Entry("no pointer", settings{}, "want a pointer to a struct"),
	Entry("a type that cannot be read", &struct {
		A struct {
			B chan int `key:"b"`
		} `section:"a"`
	}{}, "field B: type chan int"),
	Entry("a bound of another type", &struct {
		A struct {
			B string `key:"b" check:"min=1"`
		} `section:"a"`
	}{}, `check "min=1"`),
	Entry("a default that its check rejects", &struct {
		A struct {
			B int `key:"b" default:"0" check:"min=1"`
		} `section:"a"`
	}{}, `default "0"`),
)

var _ = DescribeTable("parses a size from its own text form", func(s inicfg.Size, text string) {
	// Guards against sizes that change when settings in force are printed and parsed again.
	var back inicfg.Size
	Expect(s.String()).To(Equal(text))
	Expect(back.UnmarshalText([]byte(text))).To(Succeed())
	Expect(back).To(Equal(s))
},
	Entry("none", inicfg.Size(0), "0B"),
	Entry("odd", inicfg.Size(1025), "1025B"),
	Entry("whole", inicfg.Size(64<<20), "64MiB"),
)
