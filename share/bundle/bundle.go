package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Bundle is a validated configuration with lookup tables. It is immutable and safe for
// concurrent use.
type Bundle struct {
	doc                 Doc
	pipelines           map[string]Pipeline
	pools               map[string]PoolDoc
	targets             map[string]TargetDoc
	targetsByPool       map[string][]TargetDoc
	accounts            map[string]AccountDoc
	accountByCredential map[string]string
	dataCentresOut      map[string]bool
}

// Pipeline is a validated pipeline.
type Pipeline struct{ doc PipelineDoc }

// Name returns the pipeline's name.
func (p Pipeline) Name() string { return p.doc.Name }

// Deadline returns the longest deadline that a caller may ask for.
func (p Pipeline) Deadline() time.Duration { return p.doc.Deadline.Std() }

// Objective returns the share of requests to answer within their deadline.
func (p Pipeline) Objective() float64 { return p.doc.Objective }

// Stages returns the stages in order. The caller must not change them.
func (p Pipeline) Stages() []StageDoc { return p.doc.Stages }

// New validates doc and builds a Bundle. The error joins all problems.
func New(doc Doc) (*Bundle, error) {
	b := &Bundle{
		doc:                 doc,
		pipelines:           map[string]Pipeline{},
		pools:               map[string]PoolDoc{},
		targets:             map[string]TargetDoc{},
		targetsByPool:       map[string][]TargetDoc{},
		accounts:            map[string]AccountDoc{},
		accountByCredential: map[string]string{},
		dataCentresOut:      map[string]bool{},
	}
	var errs []error
	for _, p := range doc.Pools {
		errs = append(errs, b.addPool(p))
	}
	for _, t := range doc.Targets {
		errs = append(errs, b.addTarget(t))
	}
	for _, p := range doc.Pipelines {
		errs = append(errs, b.addPipeline(p))
	}
	for _, a := range doc.Accounts {
		errs = append(errs, b.addAccount(a))
	}
	for _, dc := range doc.DataCentresOut {
		b.dataCentresOut[dc] = true
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return b, nil
}

func (b *Bundle) addPool(p PoolDoc) error {
	if _, ok := b.pools[p.Name]; ok {
		return fmt.Errorf("pool %q: defined twice", p.Name)
	}
	if p.Limit < 1 || p.ColdLimit < 1 || p.ColdLimit > p.Limit {
		return fmt.Errorf("pool %q: limit %d, cold_limit %d: want 1 <= cold_limit <= limit", p.Name, p.Limit, p.ColdLimit)
	}
	b.pools[p.Name] = p
	return nil
}

func (b *Bundle) addTarget(t TargetDoc) error {
	if _, ok := b.targets[t.Name]; ok {
		return fmt.Errorf("target %q: defined twice", t.Name)
	}
	if _, ok := b.pools[t.Pool]; !ok {
		return fmt.Errorf("target %q: unknown pool %q", t.Name, t.Pool)
	}
	b.targets[t.Name] = t
	b.targetsByPool[t.Pool] = append(b.targetsByPool[t.Pool], t)
	return nil
}

func (b *Bundle) addPipeline(p PipelineDoc) error {
	if _, ok := b.pipelines[p.Name]; ok {
		return fmt.Errorf("pipeline %q: defined twice", p.Name)
	}
	if p.Deadline <= 0 || len(p.Stages) == 0 {
		return fmt.Errorf("pipeline %q: want a deadline above 0 and at least one stage", p.Name)
	}
	for _, s := range p.Stages {
		if _, ok := b.pools[s.Pool]; !ok {
			return fmt.Errorf("pipeline %q, stage %q: unknown pool %q", p.Name, s.Name, s.Pool)
		}
		if s.Timeout <= 0 {
			return fmt.Errorf("pipeline %q, stage %q: want a timeout above 0", p.Name, s.Name)
		}
	}
	b.pipelines[p.Name] = Pipeline{doc: p}
	return nil
}

func (b *Bundle) addAccount(a AccountDoc) error {
	if _, ok := b.accounts[a.Name]; ok {
		return fmt.Errorf("account %q: defined twice", a.Name)
	}
	if a.Share < 1 {
		return fmt.Errorf("account %q: share %d: want at least 1", a.Name, a.Share)
	}
	b.accounts[a.Name] = a
	b.accountByCredential[a.Credential] = a.Name
	return nil
}

// Decode parses and validates a configuration that Encode returned.
func Decode(data []byte) (*Bundle, error) {
	var doc Doc
	if err := json.Unmarshal(data, &doc); err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
	}
	return New(doc)
}

// Encode returns the configuration as JSON. Equal documents have equal encodings.
func (b *Bundle) Encode() ([]byte, error) { return json.Marshal(b.doc) }

// Doc returns the document that the bundle was built from. The caller must not change it.
func (b *Bundle) Doc() Doc { return b.doc }

// Pipeline returns the pipeline with the name.
func (b *Bundle) Pipeline(name string) (Pipeline, bool) { p, ok := b.pipelines[name]; return p, ok }

// Pool returns the pool with the name.
func (b *Bundle) Pool(name string) (PoolDoc, bool) { p, ok := b.pools[name]; return p, ok }

// Target returns the target with the name.
func (b *Bundle) Target(name string) (TargetDoc, bool) { t, ok := b.targets[name]; return t, ok }

// Targets returns the targets of a pool. The caller must not change them.
func (b *Bundle) Targets(pool string) []TargetDoc { return b.targetsByPool[pool] }

// Account returns the account with the name.
func (b *Bundle) Account(name string) (AccountDoc, bool) { a, ok := b.accounts[name]; return a, ok }

// AccountBySecret returns the account with the secret.
func (b *Bundle) AccountBySecret(secret string) (AccountDoc, bool) {
	name, ok := b.accountByCredential[HashCredential(secret)]
	if !ok {
		return AccountDoc{}, false
	}
	return b.accounts[name], true
}

// IsDataCentreOut reports whether operators have taken the data centre out.
func (b *Bundle) IsDataCentreOut(dataCentre string) bool { return b.dataCentresOut[dataCentre] }

// WithDataCentreOut returns a copy of the bundle with the data centre taken out or back in.
func (b *Bundle) WithDataCentreOut(dataCentre string, out bool) (*Bundle, error) {
	doc := b.doc
	doc.DataCentresOut = slices.DeleteFunc(slices.Clone(doc.DataCentresOut), func(dc string) bool { return dc == dataCentre })
	if out {
		doc.DataCentresOut = append(doc.DataCentresOut, dataCentre)
		slices.Sort(doc.DataCentresOut)
	}
	return New(doc)
}

// HashCredential returns the credential of a secret, its SHA-256 in hex, which the
// configuration holds in place of the secret.
func HashCredential(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
