package sibling

import (
	"errors"
	"testing"

	"greengagedyke/upstream"
	"greengagedyke/work"
)

// A paused sibling starts a stream that it was granted before the evacuation.
func TestLateStartOfStream(t *testing.T) {
	slots := upstream.NewSlots(1)
	srv := &Server{slots: slots}
	if err := srv.start(&work.Request{}, nil); err != nil {
		t.Fatal(err)
	}
	slots.SetEvacuated(true)
	if err := srv.start(&work.Request{}, nil); !errors.Is(err, work.ErrEvacuated) || refusalReason(err) != work.ReasonEvacuated {
		t.Errorf("got error %v, want %v", err, work.ErrEvacuated)
	}
}

// The sidecar of an evacuated failure domain leaves: a sibling that does not know of either opens no
// stream there.
func TestStreamAtLeavingSidecarOfEvacuatedDomain(t *testing.T) {
	slots := upstream.NewSlots(1)
	srv := &Server{slots: slots}
	slots.SetEvacuated(true)
	slots.SetLeaving()
	if err := srv.start(&work.Request{}, nil); !errors.Is(err, work.ErrEvacuated) {
		t.Errorf("got error %v, want %v", err, work.ErrEvacuated)
	}
}
