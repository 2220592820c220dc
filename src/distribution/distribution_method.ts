/** The JSON-RPC methods that nodes call on each other for the distribution. */
export enum DistributionMethod {
  Exchange = "exchange",
  Reconcile = "reconcile",
  ReadManifest = "readManifest",
  ReadParts = "readParts",
  StoreVersion = "storeVersion",
}
