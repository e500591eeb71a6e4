package endpoint

// statusColumn is where the status begins in the first line of an answer, after "HTTP/1.1 ".
const statusColumn = 9

// headScan looks in the heads of an answer, with those of its interim answers, for lines that begin with a blank or a
// tab. net/http takes such a line as part of the value before it. No endpoint may send one (RFC 9112, section 5.2), and a
// name that begins with a blank looks the same.
type headScan struct {
	// line and column are where the next byte is. Carriage returns aren't counted.
	line, column int
	interim      bool
	folded       bool
	ended        bool
}

// add scans bytes that were read.
func (scan *headScan) add(read []byte) {
	for _, char := range read {
		if scan.ended {
			return
		}
		scan.addByte(char)
	}
}

func (scan *headScan) addByte(char byte) {
	switch {
	case char == '\r':
	case char == '\n' && scan.column > 0:
		scan.line++
		scan.column = 0
	case char == '\n':
		*scan = headScan{folded: scan.folded, ended: !scan.interim}
	default:
		scan.folded = scan.folded || scan.line > 0 && scan.column == 0 && (char == ' ' || char == '\t')
		scan.interim = scan.interim || scan.line == 0 && scan.column == statusColumn && char == '1'
		scan.column++
	}
}
