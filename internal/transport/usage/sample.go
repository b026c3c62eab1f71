package usage

import (
	"strconv"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/link"
	"github.com/coriandershift/coriandershift/internal/transport/metric"
)

// sample returns the values of the link's series.
func (m *Monitor) sample() metric.LinkSample {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	sample := metric.LinkSample{Rate: m.meter.Rate()}
	for _, d := range link.Directions {
		direction := metric.LinkDirection{
			Name: d.String(), Use: m.meter.Use(now, d), Queue: m.meter.Queue(now, d), Full: m.meter.Full(d),
		}
		for k, volume := range m.meter.Total(d) {
			direction.Kinds = append(direction.Kinds, metric.LinkKind{
				Name: link.Kind(k).String(), Bytes: volume.Bytes, Datagrams: volume.Datagrams,
			})
		}
		sample.Directions = append(sample.Directions, direction)
	}
	return sample
}

func percent(share float64) string {
	return strconv.Itoa(int(100*share+0.5)) + "%"
}
