/**
 * What is known of the backend server that answers at the address of this VM's
 * one. An address whose backend server has ended may be given to another service.
 */
export enum HolderKind {
  /** None has named itself, so calls may only name one from the register. */
  Unseen = "unseen",
  /** It belongs to the service of this node. */
  Own = "own",
  /** The register lists it under another service. */
  Foreign = "foreign",
  /** It may belong to another service: nothing tells which one yet. */
  Unlisted = "unlisted",
}
