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

// Classes are the importance classes, the most important first.
var Classes = []string{"critical", "high", "normal", "low"}

// MaxBodySize bounds the body of one request, in bytes.
const MaxBodySize = 16 << 20

// Operation is one kind of call in a mix.
type Operation struct {
	Name string `json:"name"`
	// Class is the operation's configured class. It is used for the report and is not sent.
	Class   string `json:"class"`
	Service string `json:"service"`
	Method  string `json:"method"`
	// Path begins with "/". "{n}" becomes the number of the request.
	Path string `json:"path"`
	// Weight is the operation's part of the mix.
	Weight int `json:"weight"`
	// Idempotent tells Verify how often the request may run.
	Idempotent bool `json:"idempotent"`
	// BodyBytes is the size of the body.
	BodyBytes int `json:"body_bytes"`
	// Upload expects the SHA-256 of the body in the answer.
	Upload bool `json:"upload"`
}

// ParseMix reads a JSON array of operations and reports all problems. Unknown fields are rejected.
func ParseMix(data []byte) ([]Operation, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var mix []Operation
	if err := dec.Decode(&mix); err != nil {
		return nil, fmt.Errorf("malformed mix: %w", err)
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
		require(o.BodyBytes >= 0 && o.BodyBytes <= MaxBodySize, "body_bytes", o.BodyBytes, fmt.Sprintf("0 to %d", MaxBodySize))
	}
	return errors.Join(errs...)
}

// pickOperation draws an operation by weight.
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
