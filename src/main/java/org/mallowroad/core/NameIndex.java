package org.mallowroad.core;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** Interns names as dense indices, so that the scheduler can use bit sets and arrays. */
public final class NameIndex {
  private final Object2IntOpenHashMap<String> indexByName = new Object2IntOpenHashMap<>();
  private final List<String> namesByIndex = new ArrayList<>();
  private final IntArrayList freeIndices = new IntArrayList();

  /** Creates an empty index. */
  public NameIndex() {
    indexByName.defaultReturnValue(-1);
  }

  /** Returns the index of a name; a new name is assigned one. */
  public int intern(String name) {
    int index = indexByName.getInt(name);
    if (index < 0) {
      if (freeIndices.isEmpty()) {
        index = namesByIndex.size();
        namesByIndex.add(name);
      } else {
        index = freeIndices.popInt();
        namesByIndex.set(index, name);
      }
      indexByName.put(name, index);
    }
    return index;
  }

  /** The index of a name, or -1 when the name has none. */
  public int find(String name) {
    return indexByName.getInt(name);
  }

  /** The name that an index was assigned to. */
  public String name(int index) {
    return namesByIndex.get(index);
  }

  /** Number of names. */
  public int size() {
    return indexByName.size();
  }

  /**
   * Removes the names whose indices are unused and reuses these indices for new names, so that
   * user-defined names do not accumulate.
   */
  public void retain(BitSet usedIndices) {
    for (int index = 0; index < namesByIndex.size(); index++) {
      String name = namesByIndex.get(index);
      if (name != null && !usedIndices.get(index)) {
        indexByName.removeInt(name);
        namesByIndex.set(index, null);
        freeIndices.push(index);
      }
    }
  }
}
