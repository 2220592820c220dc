/** A fault of a VM's node or links. Instants are in milliseconds since the Unix epoch. */
export interface SoakDisturbance {
  /** Index of the VM. */
  readonly vm: number;
  readonly from: number;
  readonly until: number;
}
