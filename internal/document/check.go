package document

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
)

// The validate tags that wire structs use. This package registers the tags from
// tagName to tagShare; the others belong to the validator library.
const (
	tagName     = "name"     // a name of letters, digits, "." and "-"
	tagAddress  = "address"  // an IP address with a port other than 0
	tagURL      = "baseurl"  // an http or https URL
	tagDuration = "duration" // duration=1s:1m, bounds included
	tagNumber   = "number"   // number=1:100, bounds included
	tagShare    = "share"    // share=0:1, bounds excluded
	tagRequired = "required"
	tagOneOf    = "oneof"
	tagHash     = "sha256"
	tagMax      = "max"
	tagTime     = "datetime"
)

// namePattern is the pattern of names of hosts, teams, services and jobs.
const namePattern = `^[A-Za-z0-9]([A-Za-z0-9.-]{0,61}[A-Za-z0-9])?$`

// AllowedName describes the names that ValidName accepts.
const AllowedName = `1 to 63 letters, digits, "." or "-", with a letter or digit at both ends`

// ValidName reports whether a text is a valid name of a host, a team, a service
// or a job.
func ValidName(text string) bool { return nameExpression.MatchString(text) }

var (
	nameExpression  = regexp.MustCompile(namePattern)
	structValidator = newStructValidator()
)

func newStructValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	custom := map[string]validator.Func{
		tagName:     func(f validator.FieldLevel) bool { return ValidName(f.Field().String()) },
		tagAddress:  func(f validator.FieldLevel) bool { return validAddress(f.Field().String()) },
		tagURL:      func(f validator.FieldLevel) bool { return validURL(f.Field().String()) },
		tagDuration: validDuration,
		tagNumber:   validNumber,
		tagShare:    validShare,
	}
	for tag, check := range custom {
		if err := v.RegisterValidation(tag, check); err != nil {
			panic(err) // The tags are constants of this file, so this is a bug.
		}
	}
	return v
}

// Check validates a wire struct, or a slice of wire structs, by its validate
// tags and adds the faults that it finds. The argument wire is a pointer.
func Check(wire any, faults *Faults) {
	value := reflect.Indirect(reflect.ValueOf(wire))
	if value.Kind() != reflect.Slice {
		checkStruct(wire, "", faults)
		return
	}
	for i := range value.Len() {
		checkStruct(value.Index(i).Addr().Interface(), fmt.Sprintf("[%d]", i), faults)
	}
}

func checkStruct(wire any, prefix string, faults *Faults) {
	var found validator.ValidationErrors
	if !errors.As(structValidator.Struct(wire), &found) {
		return
	}
	for _, fieldErr := range found {
		_, path, _ := strings.Cut(fieldErr.Namespace(), ".")
		value := fieldErr.Value()
		if fieldErr.Kind() == reflect.Slice {
			value = fmt.Sprintf("%d entries", reflect.ValueOf(value).Len())
		}
		faults.Add(joinPath(prefix, path), value, describeAllowed(fieldErr))
	}
}

func describeAllowed(f validator.FieldError) string {
	low, high, _ := strings.Cut(f.Param(), ":")
	switch f.Tag() {
	case tagName:
		return AllowedName
	case tagAddress:
		return `an IP number and a port of 1 to 65535, such as "10.0.0.1:7000"`
	case tagURL:
		return `an address such as "http://10.0.0.1:8000"`
	case tagDuration:
		return fmt.Sprintf("a duration of %s to %s", low, high)
	case tagNumber:
		return fmt.Sprintf("%s to %s", low, high)
	case tagShare:
		return fmt.Sprintf("more than %s and less than %s", low, high)
	case tagRequired:
		return "a value; the field is required"
	case tagOneOf:
		return "one of " + strings.ReplaceAll(f.Param(), " ", ", ")
	case tagHash:
		return "64 hexadecimal digits"
	case tagMax:
		return "at most " + f.Param() + " entries"
	case tagTime:
		return "a time in the form of RFC 3339"
	default:
		return strings.TrimSpace(f.Tag() + " " + f.Param())
	}
}

func validAddress(text string) bool {
	addr, err := netip.ParseAddrPort(text)
	return err == nil && addr.Port() != 0
}

func validURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.User == nil
}

func validDuration(f validator.FieldLevel) bool {
	low, high, _ := strings.Cut(f.Param(), ":")
	value, err := time.ParseDuration(f.Field().String())
	return err == nil && value >= mustDuration(low) && value <= mustDuration(high)
}

func mustDuration(text string) time.Duration {
	value, err := time.ParseDuration(text)
	if err != nil {
		panic(err) // The bounds are constants of wire structs, so this is a bug.
	}
	return value
}

func validNumber(f validator.FieldLevel) bool {
	low, high := parseBounds(f.Param())
	var value float64
	switch f.Field().Kind() {
	case reflect.Float64:
		value = f.Field().Float()
	default:
		value = float64(f.Field().Int())
	}
	return value >= low && value <= high
}

func validShare(f validator.FieldLevel) bool {
	low, high := parseBounds(f.Param())
	return f.Field().Float() > low && f.Field().Float() < high
}

func parseBounds(param string) (low, high float64) {
	first, second, _ := strings.Cut(param, ":")
	low, errLow := strconv.ParseFloat(first, 64)
	high, errHigh := strconv.ParseFloat(second, 64)
	if err := errors.Join(errLow, errHigh); err != nil {
		panic(err) // The bounds are constants of wire structs, so this is a bug.
	}
	return low, high
}
