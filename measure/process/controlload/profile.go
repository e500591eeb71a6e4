package controlload

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/step"
	"carobline.dev/measure/process/controlhost"
)

const (
	// profileSeconds is the length of a processor profile.
	profileSeconds  = 4
	profileFileMode = 0o644
)

// profileDue reports whether the profile is due and wasn't begun before.
func (run *run) profileDue(elapsed time.Duration) bool {
	return run.config.ProfilePath != "" && elapsed >= run.config.ProfileAt && !run.profiled
}

// profile begins to record a processor profile of a control host, and returns what it did.
func (run *run) profile(index int) string {
	run.profiled = true
	address := run.hosts[index].settings.ControlAddress
	run.goroutines.Go(func() {
		if err := recordProfile(run.ctx, address, run.config.ProfilePath); err != nil {
			fmt.Fprintf(run.out, "the profile of control host %d failed: %v\n", index, err)
		}
	})
	return fmt.Sprintf("control host %d is profiled for %d s", index, profileSeconds)
}

// recordProfile writes the profile of the control host at an address to a file.
func recordProfile(ctx context.Context, address, path string) error {
	url := fmt.Sprintf("http://%s%s?seconds=%d", address, controlhost.ProfilePath, profileSeconds)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "request a profile")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "request a profile")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "read a profile")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("request a profile: status %d, %s", response.StatusCode, data)
	}
	return step.Wrap(os.WriteFile(path, data, profileFileMode), "write a profile")
}
