package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/config"
	"guavapoint.example/guavapoint/internal/core/membership"
)

// documentOf returns a document with a number of services. Each service has four operations, the maximum in the example
// deployments.
func documentOf(b *testing.B, services int) *config.Document {
	b.Helper()
	preset := config.Preset{RetryBudget: 3, RetryRatio: 0.1, DefaultTimeout: 2e9, SlotShare: 1, ReservedShare: 0.1,
		QueueDelay: 50e6, LowestClass: call.ClassLow, LinkBytesPerSecond: 400_000, LinkUploadShare: 0.5}
	d := &config.Document{Format: config.Format, Epoch: 1, ChangeID: "capacity", ChangedBy: "benchmark",
		ActivePresetName: config.PresetOrdinary, Presets: map[string]config.Preset{}, Services: map[string]config.Service{},
		Batches: []config.Batch{}}
	for _, name := range config.PresetNames() {
		d.Presets[name] = preset
	}
	for i := range services {
		name := fmt.Sprintf("service-%03d", i)
		s := config.Service{}
		for j, method := range []string{"GET", "POST", "PUT", "DELETE"} {
			s.Operations = append(s.Operations, config.Operation{Name: fmt.Sprintf("operation-%d", j), Method: method,
				Path: fmt.Sprintf("/resource-%d/{id}", i), Class: call.Class(j), Idempotent: method != "POST"})
		}
		d.Services[name] = s
	}
	return d
}

// BenchmarkCapacityConfig measures the cost of a configuration change for a daemon that receives it: the time to
// decompress and parse the document, and its size in bytes before and after compression.
func BenchmarkCapacityConfig(b *testing.B) {
	for _, services := range []int{67, 335, 670} {
		b.Run(fmt.Sprintf("services-%d", services), func(b *testing.B) {
			data, err := documentOf(b, services).Encode()
			if err != nil {
				b.Fatal(err)
			}
			compressed, err := Compress(data)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				plain, err := Decompress(compressed)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := config.Parse(plain); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "bytes")
			b.ReportMetric(float64(len(compressed)), "compressed-bytes")
		})
	}
}

// BenchmarkCapacitySummary measures the time in which a relay encodes and decodes one zone summary, and its size in
// bytes.
func BenchmarkCapacitySummary(b *testing.B) {
	for _, members := range []int{50, 150, 573} {
		b.Run(fmt.Sprintf("members-%d", members), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			m := membership.Message{Kind: membership.KindSummary, From: "10.0.0.1:4433", Zone: "zone-1", UnixMillis: now.UnixMilli()}
			rng := rand.New(rand.NewPCG(1, 1))
			for i := range members {
				m.Records = append(m.Records, membership.Record{
					Address: fmt.Sprintf("10.1.%d.%d:4433", i>>8, i&255), CallAddress: fmt.Sprintf("10.1.%d.%d:8080", i>>8, i&255),
					Service: fmt.Sprintf("service-%03d", rng.IntN(670)), Zone: "zone-1", Region: "region-1",
					Incarnation: call.Incarnation(rng.Uint64()), Seq: uint64(now.UnixMilli()) + rng.Uint64N(1e9),
					State: membership.StateServing, Slots: 90,
				})
			}
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				data, err := membership.Encode(m)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := membership.Decode(data); err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
