package command

import (
	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// Exit codes that do not come from a result code.
const (
	exitOK      = 0
	exitUsage   = 2
	exitPending = 3
)

// ExitCode is the first digit of the result code followed by its last one, at
// most 9. Result codes start at 1000, so it does not meet the codes above.
func ExitCode(code apiv1.ResultCode) int {
	if code == apiv1.ResultCode_RESULT_CODE_OK {
		return exitOK
	}
	return int(code)/1000*10 + min(int(code)%1000, 9)
}

// pendingError says that a change was accepted and has not finished yet.
type pendingError struct{ message string }

// Error implements the error interface.
func (e *pendingError) Error() string { return e.message }
