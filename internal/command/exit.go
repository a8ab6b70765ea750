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

// ExitCode returns the exit code for a result code: 0 for OK, else the thousands
// digit followed by the remainder, which is limited to 9. For example,
// VERSION_CONFLICT (4001) gives 41. Result codes of errors start at 1000, so the
// exit code is at least 10 and differs from the constants above.
func ExitCode(code apiv1.ResultCode) int {
	if code == apiv1.ResultCode_RESULT_CODE_OK {
		return exitOK
	}
	return int(code)/1000*10 + min(int(code)%1000, 9)
}

// pendingError is the error of a command whose change was accepted but did not
// finish in time. It gives exit code 3.
type pendingError struct{ message string }

// Error implements the error interface.
func (e *pendingError) Error() string { return e.message }
