package plan

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/samber/oops"
	"gopkg.in/ini.v1"

	"chivepost/share/bundle"
)

// Write writes all files below dir and overwrites those of an earlier plan.
func (p *Plan) Write(dir string) error {
	files, err := p.files()
	if err != nil {
		return err
	}
	for name, data := range files {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			return oops.Wrapf(err, "create folder")
		}
		if err := os.WriteFile(path, data, 0o644); err != nil {
			return oops.Wrapf(err, "write file")
		}
	}
	return nil
}

// files returns the contents of all files by path relative to the folder.
func (p *Plan) files() (map[string][]byte, error) {
	files := map[string][]byte{}
	var err error
	add := func(name string, data []byte, e error) {
		files[name] = data
		if err == nil && e != nil {
			err = oops.With("file", name).Wrapf(e, "encode")
		}
	}
	data, e := encode(p.HostList())
	add("hosts.json", data, e)
	for _, entry := range p.Entries {
		data, e := p.entryFile(entry)
		add("entry-"+entry.Name+".ini", data, e)
	}
	for _, f := range p.Files {
		data, e := encode(f)
		add("targets-"+f.DataCentre+".json", data, e)
	}
	for name, data := range p.Deployment.Services {
		add(filepath.Join("services", name, "service.ini"), data, nil)
	}
	data, e = p.targetsFile()
	add(filepath.Join("services", "targets", "service.ini"), data, e)
	// The validated form of the same configuration, for the load tool and the checker.
	b, e := bundle.New(p.Doc)
	if e == nil {
		data, e = encode(b.Doc())
	}
	add("bundle.json", data, e)
	add("env", p.env(), nil)
	return files, err
}

func encode(value any) ([]byte, error) {
	data, err := json.MarshalIndent(value, "", "  ")
	return append(data, '\n'), err
}

// entryFile returns the settings file of an entry host.
func (p *Plan) entryFile(e Entry) ([]byte, error) {
	return encodeINI([]section{
		{"host", [][2]string{
			{"name", e.Name},
			{"data_centre", e.DataCentre},
			{"region", e.Region},
			{"address", e.Address},
			{"peer_address", e.PeerAddress},
			{"operator_address", e.OperatorAddress},
		}},
		{"platform", [][2]string{{"log_url", "http://" + p.LogAddress}, {"hosts_url", "http://" + p.HostListAddress}}},
		{"peers", [][2]string{{"key", p.PeerKey}}},
		{"timing", nil},
	})
}

// targetsFile returns the service file that lists the targets.
func (p *Plan) targetsFile() ([]byte, error) {
	var sections []section
	for _, t := range p.Doc.Targets {
		sections = append(sections, section{"target " + t.Name, [][2]string{
			{"pool", t.Pool}, {"data_centre", t.DataCentre}, {"region", t.Region}, {"address", t.Address},
		}})
	}
	return encodeINI(sections)
}

type section struct {
	name string
	keys [][2]string
}

func encodeINI(sections []section) ([]byte, error) {
	file := ini.Empty()
	for _, s := range sections {
		sec, err := file.NewSection(s.name)
		if err != nil {
			return nil, err
		}
		for _, k := range s.keys {
			if _, err := sec.NewKey(k[0], k[1]); err != nil {
				return nil, err
			}
		}
	}
	var buf bytes.Buffer
	_, err := file.WriteTo(&buf)
	return buf.Bytes(), err
}

// env returns the assignments of shell variables for scripts.
func (p *Plan) env() []byte {
	var entries, operators, admins, dataCentres []string
	for _, e := range p.Entries {
		entries = append(entries, e.Address)
		operators = append(operators, e.OperatorAddress)
	}
	for _, f := range p.Files {
		admins = append(admins, f.AdminAddress)
		dataCentres = append(dataCentres, f.DataCentre)
	}
	var b strings.Builder
	for _, v := range [][2]string{
		{"LOG_ADDRESS", p.LogAddress},
		{"LOG_URL", "http://" + p.LogAddress},
		{"HOSTS_ADDRESS", p.HostListAddress},
		{"HOSTS_URL", "http://" + p.HostListAddress},
		{"WEIGHTS_ADDRESS", p.WeightsAddress},
		{"WEIGHTS_URL", "http://" + p.WeightsAddress},
		{"ENTRY_ADDRESSES", strings.Join(entries, ",")},
		{"OPERATOR_ADDRESSES", strings.Join(operators, ",")},
		{"DATA_CENTRES", strings.Join(dataCentres, ",")},
		{"TARGET_ADMIN_ADDRESSES", strings.Join(admins, ",")},
		{"CLIENT_DELAY", p.Deployment.ClientDelay.String()},
	} {
		fmt.Fprintf(&b, "%s=%s\n", v[0], v[1])
	}
	return []byte(b.String())
}
