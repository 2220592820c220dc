/** Where a chosen backend server is. */
export enum ChoicePlace {
  OwnVm = "own-vm",
  OwnZone = "own-zone",
  OtherZone = "other-zone",
}
