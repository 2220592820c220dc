/** What the platform's list says of a VM. The list lags. */
export enum VmState {
  Live = "live",
  Leaving = "leaving",
}
