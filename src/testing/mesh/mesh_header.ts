/** Headers that callers and backend servers use in tests of the mesh. */
export enum MeshHeader {
  Call = "test-call",
  Remaining = "test-remaining",
  Signature = "test-signature",
  NotRun = "test-not-run",
  Target = "test-target",
  Identifier = "test-identifier",
  CallerService = "test-caller-service",
  Cold = "test-cold",
}
