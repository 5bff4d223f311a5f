package org.mallowroad.core;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** Gives names dense indices, so that the scheduler can work on bit sets and arrays. */
public final class NameIndex {
  private final Object2IntOpenHashMap<String> index = new Object2IntOpenHashMap<>();
  private final List<String> names = new ArrayList<>();
  private final IntArrayList freeIndices = new IntArrayList();

  /** An empty table. */
  public NameIndex() {
    index.defaultReturnValue(-1);
  }

  /** The index of a name, which is given one when it is new. */
  public int intern(String name) {
    int i = index.getInt(name);
    if (i < 0) {
      if (freeIndices.isEmpty()) {
        i = names.size();
        names.add(name);
      } else {
        i = freeIndices.popInt();
        names.set(i, name);
      }
      index.put(name, i);
    }
    return i;
  }

  /** The index of a name, or -1 when it was never seen. */
  public int find(String name) {
    return index.getInt(name);
  }

  /** The name behind an index. */
  public String name(int i) {
    return names.get(i);
  }

  /** How many names there are. */
  public int size() {
    return index.size();
  }

  /**
   * Forgets the names whose indices are not used any more, so that names which users make up do not
   * pile up; the indices are given to new names.
   */
  public void retain(BitSet used) {
    for (int i = 0; i < names.size(); i++) {
      String name = names.get(i);
      if (name != null && !used.get(i)) {
        index.removeInt(name);
        names.set(i, null);
        freeIndices.push(i);
      }
    }
  }
}
