package fake

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// datasetDays is the number of days over which generated records are spread.
const datasetDays = 90

// firstDay is the first date of generated records.
var firstDay = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// pick returns one of the values.
func pick(r *rand.Rand, values []string) string { return values[r.IntN(len(values))] }

// someDay returns a date within the generated period.
func someDay(r *rand.Rand) string {
	return firstDay.AddDate(0, 0, r.IntN(datasetDays)).Format(time.DateOnly)
}

// AssistanceBookings generates n bookings as Safari Msaada holds them.
func AssistanceBookings(seed uint64, n int) *Dataset {
	r := rand.New(rand.NewPCG(seed, 1))
	statuses := []string{"open", "assigned", "held", "met", "closed"}
	kinds := []string{"wheelchair", "escort", "guide", "lift", "buggy"}
	airlines := []string{"KQ", "P2", "JM", "UR", "ET", "TC"}
	names := []string{"Achieng", "Barasa", "Chebet", "Kamau", "Mwende", "Njeri", "Otieno", "Wanjiku"}
	notes := []string{"uses own chair", "blind, travels with cane", "hearing aid", "needs lift to door",
		"two bags to carry", "meets family at arrivals", "connecting flight", "guide dog"}
	records := make([]Record, n)
	for i := range records {
		kind := pick(r, kinds)
		name := pick(r, names)
		records[i] = Record{
			ID:   fmt.Sprintf("MS-%06d", i),
			Date: someDay(r),
			Text: fmt.Sprintf("%s for %s, %s", kind, name, pick(r, notes)),
			Fields: map[string]any{
				"kind":      kind,
				"traveller": name,
				"gate":      fmt.Sprintf("%c%d", 'A'+rune(r.IntN(4)), 1+r.IntN(12)),
				"flight":    fmt.Sprintf("%s%03d", pick(r, airlines), r.IntN(1000)),
				"status":    pick(r, statuses),
				"urgency":   float64(1 + r.IntN(5)),
			},
		}
	}
	return newDataset(records, statuses)
}

// PlinthOrders generates n orders as the firms hosted by Podstavek hold them.
func PlinthOrders(seed uint64, n int) *Dataset {
	r := rand.New(rand.NewPCG(seed, 2))
	statuses := []string{"quoted", "ordered", "cast", "loaded", "laid"}
	firms := []string{"Kamen", "Temelj", "Steber", "Beton Novak", "Gradnje Zupan"}
	plinths := []string{"round", "square", "stepped", "corner", "monument"}
	classes := []string{"C20/25", "C25/30", "C30/37", "C35/45"}
	notes := []string{"drawing changed", "crane on site", "deliver before seven", "narrow gate",
		"reinforced base", "repeat of an older order", "frost protection", "polished face"}
	records := make([]Record, n)
	for i := range records {
		plinth := pick(r, plinths)
		firm := pick(r, firms)
		records[i] = Record{
			ID:   fmt.Sprintf("PO-%06d", i),
			Date: someDay(r),
			Text: fmt.Sprintf("%s plinth for %s, %s", plinth, firm, pick(r, notes)),
			Fields: map[string]any{
				"plinth":  plinth,
				"firm":    firm,
				"class":   pick(r, classes),
				"yard":    fmt.Sprintf("Y%d", 1+r.IntN(6)),
				"status":  pick(r, statuses),
				"drawing": float64(1 + r.IntN(9)),
				"volume":  float64(1+r.IntN(80)) / 4,
			},
		}
	}
	return newDataset(records, statuses)
}
