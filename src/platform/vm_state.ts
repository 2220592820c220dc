/** The state of a VM in the platform's list, which may be out of date. */
export enum VmState {
  Live = "live",
  Leaving = "leaving",
}
