package soak

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"
)

// Report is the result of a soak.
type Report struct {
	Seed       uint64         `json:"seed"`
	For        time.Duration  `json:"for"`
	Processes  int            `json:"processes"`
	Violations []Violation    `json:"violations"`
	Plan       []Fault        `json:"plan"`
	Seconds    []SecondCounts `json:"seconds"`
	// Resets counts flows whose callers were told that they are lost.
	Resets int `json:"resets"`
}

const (
	// readyTimeout bounds the start of a site.
	readyTimeout = 20 * time.Second
	readyPause   = 50 * time.Millisecond
)

// Run runs a soak. It ends only processes that it has started.
func Run(ctx context.Context, o *Options) (*Report, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "soak.Run")
	}
	r := &record{began: time.Now()}
	s, err := newSite(o, r)
	if err != nil {
		return nil, errors.WithMessage(err, "soak.Run")
	}
	l := &load{site: s, sent: map[string]bool{}}
	plan := NewPlan(o)
	err = l.play(ctx, plan)
	s.close()
	if err != nil {
		return nil, errors.WithMessage(err, "soak.Run")
	}
	return &Report{
		Seed: o.Seed, For: o.For, Processes: o.Balancers + o.Sidecars,
		Violations: r.violations, Plan: plan, Seconds: r.seconds, Resets: r.resets,
	}, nil
}

// play serves callers while the plan is carried out, and checks the promises.
func (l *load) play(ctx context.Context, plan []Fault) error {
	if err := l.awaitReady(ctx); err != nil {
		return err
	}
	l.site.record.began = time.Now()
	serving, end := context.WithTimeout(ctx, l.site.opts.For)
	defer end()
	calm := make(chan time.Time, 1)
	go func() {
		l.site.inject(serving, plan, l.site.record.began)
		calm <- time.Now()
	}()
	l.run(serving)
	l.check(<-calm)
	return ctx.Err()
}

// awaitReady opens a flow to each address.
func (l *load) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i := 0; i < len(serviceAddrs); {
		f, err := l.site.callers.Open(ctx, serviceAddrs[i])
		if err == nil {
			f.Close()
			i++
			continue
		}
		if ctx.Err() != nil {
			return errors.Wrapf(err, "soak: %v is not served", serviceAddrs[i])
		}
		time.Sleep(readyPause)
	}
	return nil
}
