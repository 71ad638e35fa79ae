package load

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// Classes lists the importance classes, the most important first.
var Classes = []string{"critical", "high", "normal", "low"}

// MaxBodySize is the largest request body, in bytes.
const MaxBodySize = 16 << 20

// Operation is one kind of call in a mix.
type Operation struct {
	Name string `json:"name"`
	// Class is the operation's configured importance class. The report groups by it; it is not sent.
	Class   string `json:"class"`
	Service string `json:"service"`
	Method  string `json:"method"`
	// Path begins with "/". "{n}" is replaced by the index of the request in the run, from 0.
	Path string `json:"path"`
	// Weight is the operation's share of the mix, relative to the sum of all weights.
	Weight int `json:"weight"`
	// Idempotent requests may run more than once; Verify reports any other that did.
	Idempotent bool `json:"idempotent"`
	// BodyBytes is the size of the request body, 0 to MaxBodySize.
	BodyBytes int `json:"body_bytes"`
	// Upload is set if the answer must contain the SHA-256 of the request body.
	Upload bool `json:"upload"`
}

// ParseMix parses a JSON array of operations. Unknown fields are rejected. The error lists all invalid values.
func ParseMix(data []byte) ([]Operation, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var mix []Operation
	if err := dec.Decode(&mix); err != nil {
		return nil, fmt.Errorf("parse mix: %w", err)
	}
	return mix, validateMix(mix)
}

func validateMix(mix []Operation) error {
	var errs []error
	if len(mix) == 0 {
		errs = append(errs, errors.New("the mix has no operations"))
	}
	for i, o := range mix {
		require := func(ok bool, field string, found any, allowed string) {
			if !ok {
				errs = append(errs, fmt.Errorf("mix[%d].%s is %v, allowed is %s", i, field, found, allowed))
			}
		}
		require(o.Name != "", "name", "empty", "a name")
		require(slices.Contains(Classes, o.Class), "class", o.Class, strings.Join(Classes, ", "))
		require(o.Service != "", "service", "empty", "a service name")
		require(o.Method != "", "method", "empty", "an HTTP method")
		require(strings.HasPrefix(o.Path, "/"), "path", o.Path, "a path that begins with '/'")
		require(o.Weight > 0, "weight", o.Weight, "1 or more")
		require(o.BodyBytes >= 0 && o.BodyBytes <= MaxBodySize, "body_bytes", o.BodyBytes,
			fmt.Sprintf("0 to %d", MaxBodySize))
	}
	return errors.Join(errs...)
}

// pickOperation returns a random operation, with a probability proportional to its weight.
func pickOperation(mix []Operation, rng *rand.Rand) Operation {
	total := 0
	for _, o := range mix {
		total += o.Weight
	}
	remaining := rng.IntN(total)
	for _, o := range mix {
		if remaining -= o.Weight; remaining < 0 {
			return o
		}
	}
	return mix[len(mix)-1]
}
