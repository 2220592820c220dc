/** A key of the stand-in store as its protocol shows it. */
export interface StoredItem {
  readonly key: string;
  /** Base64; absent on a removal. */
  readonly value?: string;
  readonly rev: number;
  readonly removed?: true;
}
